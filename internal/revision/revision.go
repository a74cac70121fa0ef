package revision

import "cmp"

// Revision is a position in the history of the platform's store. When the store is restored from an older copy, its
// revision numbers go back and are given out again, but its era rises. So only era and number together tell which of
// two positions is the later one.
type Revision struct {
	Era    int64 // number of restores; 0 for a store that doesn't count them
	Number int64 // of the store's last change; 0 if there is none
}

// New returns the position with the given number in an era.
func New(era, number int64) Revision { return Revision{Era: era, Number: number} }

// Compare returns -1, 0 or 1 if r is before, at or after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// IsZero reports whether r is no position.
func (r Revision) IsZero() bool { return r == Revision{} }
