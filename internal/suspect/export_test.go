package suspect

// Hasty lets l give verdicts without waiting for other crashes.
func Hasty(l *Ledger) { l.hasty = true }

// Simple lets l count crashes without asking what else explains them.
func Simple(l *Ledger) { l.simple = true }
