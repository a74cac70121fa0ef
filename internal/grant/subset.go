package grant

import (
	"math"
	"sort"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// How the subset for long prompts follows demand.
const (
	subsetHold   = 10 * time.Second // time for which another size must be wanted before it is taken
	subsetMargin = 0.25             // part of an engine beyond the present size that is not worth a change
)

// subset is whether this backend server is one of those for long prompts.
type subset struct {
	long  bool
	size  int
	since time.Time // when another size began to be wanted; zero while none is
}

// Domain takes in the rows of the backend servers of the failure domain, this one included. From them each scheduler
// works out by itself how many take long prompts and whether its own backend server is among them.
func (s *Scheduler) Domain(now time.Time, rows []protocol.Row) []Decision {
	s.advance(now)
	var long, total float64
	names := make([]string, 0, len(rows))
	for _, row := range rows {
		long += row.LongDemand
		total += row.LongDemand + row.ShortDemand
		if !row.Leaving && !row.Unhealthy {
			names = append(names, row.Server)
		}
	}
	wanted := 0.0
	if total > 0 {
		wanted = long / total * float64(len(names))
	}
	if s.LongEngines > 0 {
		s.subset.size = min(s.LongEngines, max(len(names)-1, 0))
	} else {
		s.subset.resize(now, wanted, len(names))
	}
	sort.Strings(names)
	was := s.subset.long
	place := sort.SearchStrings(names, s.Server.Name)
	s.subset.long = place < min(s.subset.size, len(names))
	if was != s.subset.long {
		s.revision++
	}
	return nil
}

func (u *subset) resize(now time.Time, wanted float64, servers int) {
	size := int(math.Round(wanted))
	if wanted > 0 {
		size = max(size, 1)
	}
	size = min(size, max(servers-1, 0))
	if size == u.size || math.Abs(wanted-float64(u.size)) < 0.5+subsetMargin && u.size > 0 {
		u.since = time.Time{}
		return
	}
	if u.since.IsZero() {
		u.since = now
	}
	if u.size == 0 || now.Sub(u.since) >= subsetHold {
		u.size, u.since = size, time.Time{}
	}
}
