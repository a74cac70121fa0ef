package order

// maxSentKeys is the number of claim keys that sentKeys holds.
const maxSentKeys = 1 << 14

// sentKeys holds the claim keys of the latest requests that this host sent to a service, in a ring buffer. The zero
// value is empty and ready for use.
type sentKeys struct {
	ring  []string
	next  int            // index in ring of the oldest key, once ring is full
	count map[string]int // number of occurrences in ring by key
}

// add appends key and, if the ring is full, evicts the oldest key.
func (s *sentKeys) add(key string) {
	if s.count == nil {
		s.count = make(map[string]int)
	}
	s.count[key]++
	if len(s.ring) < maxSentKeys {
		s.ring = append(s.ring, key)
		return
	}
	oldest := s.ring[s.next]
	if s.count[oldest]--; s.count[oldest] == 0 {
		delete(s.count, oldest)
	}
	s.ring[s.next] = key
	s.next = (s.next + 1) % maxSentKeys
}

// markSent records that this host sends the request of a claim key to a service.
func (r *Runner) markSent(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.add(key)
}
