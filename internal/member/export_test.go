package member

// Protections of the list that tests switch off.
const (
	Refutation = "refutation"
	Indirect   = "indirect probes"
	Tombstones = "tombstones"
	Lag        = "own lag"
	Suspicion  = "suspicion"
)

// SwitchOff disables a protection.
func (l *List) SwitchOff(name string) {
	switch name {
	case Refutation:
		l.off.refutation = true
	case Indirect:
		l.off.indirect = true
	case Tombstones:
		l.off.tombstones = true
	case Lag:
		l.off.lag = true
	case Suspicion:
		l.off.suspicion = true
	}
}
