package quarantine

// maxTraffic is the number of requests after which older ones count half.
const maxTraffic = 1024

// traffic counts by part the requests that were sent to replicas lately. Its zero value has none.
type traffic struct {
	requests int
	byPart   map[uint64]int
}

func (t *traffic) add(c *Content) {
	if t.byPart == nil {
		t.byPart = make(map[uint64]int)
	}
	t.requests++
	for _, part := range c.Parts {
		t.byPart[part]++
	}
	if t.requests < maxTraffic {
		return
	}
	t.requests /= 2
	for part, n := range t.byPart {
		if n == 1 {
			delete(t.byPart, part)
		} else {
			t.byPart[part] = n / 2
		}
	}
}

// isWidespread reports whether most requests hold the part.
func (t *Table) isWidespread(part uint64) bool {
	const (
		least   = 20 // requests, before which nothing is known
		percent = 70
	)
	return t.traffic.requests >= least && t.traffic.byPart[part]*100 >= t.traffic.requests*percent
}
