package order

const sentKeysKept = 1 << 14

// sentKeys remembers the latest claim keys whose request was sent to a service by this host.
type sentKeys struct {
	ring  []string
	next  int
	count map[string]int
}

func (s *sentKeys) add(key string) {
	if s.count == nil {
		s.count = make(map[string]int)
	}
	s.count[key]++
	if len(s.ring) < sentKeysKept {
		s.ring = append(s.ring, key)
		return
	}
	oldest := s.ring[s.next]
	if s.count[oldest]--; s.count[oldest] == 0 {
		delete(s.count, oldest)
	}
	s.ring[s.next] = key
	s.next = (s.next + 1) % sentKeysKept
}

func (r *Runner) markSent(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.add(key)
}
