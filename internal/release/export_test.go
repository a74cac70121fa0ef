package release

// NeverRepeat makes t send each release only once.
func NeverRepeat(t *Tracker) { t.neverRepeat = true }

// IgnoreExpiry keeps c from freeing expired allocations.
func IgnoreExpiry(c *OrphanDetector) { c.ignoreExpiry = true }

// FreeMissingOwners makes c free the allocations of hosts that are not among the living ones, before they expire.
func FreeMissingOwners(c *OrphanDetector) { c.freeMissingOwners = true }
