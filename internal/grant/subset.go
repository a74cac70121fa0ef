package grant

import (
	"math"
	"sort"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// How the number of backend servers for long prompts follows demand.
const (
	resizeDelay  = 10 * time.Second // time for which demand must ask for another size before the subset is resized
	resizeMargin = 0.25             // servers beyond the rounding limit of 0.5 by which demand may differ without a resize
)

// subset holds the size of the subset of backend servers for long prompts, and whether this one is in it.
type subset struct {
	long              bool
	size              int
	resizeWantedSince time.Time // since when demand asks for another size; zero if it does not
}

// UpdateSubset updates the subset for long prompts from the rows of the backend servers of the failure domain, this one
// included. Each scheduler computes by itself how many servers take long prompts and whether its own is one of them.
func (s *Scheduler) UpdateSubset(now time.Time, rows []protocol.Row) []Decision {
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
	wantedSize := 0.0
	if total > 0 {
		wantedSize = long / total * float64(len(names))
	}
	if s.LongEngines > 0 {
		s.subset.size = min(s.LongEngines, max(len(names)-1, 0))
	} else {
		s.subset.resize(now, wantedSize, len(names))
	}
	sort.Strings(names)
	wasLong := s.subset.long
	index := sort.SearchStrings(names, s.Server.Name)
	s.subset.long = index < min(s.subset.size, len(names))
	if wasLong != s.subset.long {
		s.revision++
	}
	return nil
}

// resize adapts the size to wantedSize, the share of long prompts in the demand times the number of servers. A subset
// that is not empty changes its size only after resizeDelay, and at least one server stays outside it.
func (u *subset) resize(now time.Time, wantedSize float64, servers int) {
	size := int(math.Round(wantedSize))
	if wantedSize > 0 {
		size = max(size, 1)
	}
	size = min(size, max(servers-1, 0))
	if size == u.size || math.Abs(wantedSize-float64(u.size)) < 0.5+resizeMargin && u.size > 0 {
		u.resizeWantedSince = time.Time{}
		return
	}
	if u.resizeWantedSince.IsZero() {
		u.resizeWantedSince = now
	}
	if u.size == 0 || now.Sub(u.resizeWantedSince) >= resizeDelay {
		u.size, u.resizeWantedSince = size, time.Time{}
	}
}
