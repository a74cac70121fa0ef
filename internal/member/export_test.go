package member

// Protections of a List that tests can disable.
const (
	Refutation      = "refutation"
	Indirect        = "indirect probes"
	Tombstones      = "tombstones"
	LagCompensation = "lag compensation"
	Suspicion       = "suspicion"
)

// Disable disables the named protection; an empty name disables none.
func (l *List) Disable(name string) {
	switch name {
	case Refutation:
		l.disabled.refutation = true
	case Indirect:
		l.disabled.indirectProbes = true
	case Tombstones:
		l.disabled.tombstones = true
	case LagCompensation:
		l.disabled.lagCompensation = true
	case Suspicion:
		l.disabled.suspicion = true
	}
}
