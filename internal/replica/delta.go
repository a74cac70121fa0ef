package replica

import (
	"slices"

	"github.com/turmericshunt/turmericshunt/internal/uptime"
)

// maxSteps is the number of latest changes of a list that Delta can combine.
const maxSteps = 32

// Delta is what has changed between two states of a list of replicas.
type Delta struct {
	Base    uint64    `cbor:"1,keyasint"`           // digest of the list to which the changes apply
	Changed []Replica `cbor:"2,keyasint,omitempty"` // replicas that are new or different
	Removed []string  `cbor:"3,keyasint,omitempty"` // IDs of the replicas that left the list
}

// step is one change of the list.
type step struct {
	base uint64   // digest of the list before the change
	ids  []string // of the replicas that changed
}

// record adds changes that were just made to the steps and updates what is derived from the replicas.
func (l *List) record(changes []Change) {
	if len(changes) == 0 {
		return
	}
	s := step{base: l.digest}
	for _, c := range changes {
		s.ids = append(s.ids, c.Replica.ID)
	}
	l.steps = append(l.steps, s)
	if len(l.steps) > maxSteps {
		l.steps = slices.Delete(l.steps, 0, 1)
	}
	l.digest = l.computeDigest()
	l.superseded = l.findSuperseded()
}

// Delta returns what has changed since the list had the digest base. It returns false if that is not remembered.
func (l *List) Delta(base uint64) (*Delta, bool) {
	i := slices.IndexFunc(l.steps, func(s step) bool { return s.base == base })
	if i < 0 {
		return nil, false
	}
	d := &Delta{Base: base}
	seen := make(map[string]bool)
	for _, s := range l.steps[i:] {
		for _, id := range s.ids {
			if seen[id] {
				continue
			}
			seen[id] = true
			if r, ok := l.replicas[id]; ok {
				d.Changed = append(d.Changed, r)
			} else {
				d.Removed = append(d.Removed, id)
			}
		}
	}
	return d, true
}

// Apply applies the changes that another host's list has had since it was the same as this one, and returns what changed
// here; see Replace. It returns false if the changes apply to another list than this one.
func (l *List) Apply(available uptime.Interval, d *Delta) ([]Change, bool) {
	if d.Base != l.digest {
		return nil, false
	}
	all := make([]Replica, 0, len(l.replicas)+len(d.Changed))
	for _, r := range l.replicas {
		changed := slices.ContainsFunc(d.Changed, func(c Replica) bool { return c.ID == r.ID })
		if !changed && !slices.Contains(d.Removed, r.ID) {
			all = append(all, r)
		}
	}
	return l.Replace(available, append(all, d.Changed...)), true
}
