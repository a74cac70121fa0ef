package suspect

// SkipWaits lets l decide without waiting for reports of other crashes.
func SkipWaits(l *Tracker) { l.skipWaits = true }

// SkipExplanations lets l count crashes whatever else may explain them.
func SkipExplanations(l *Tracker) { l.skipExplanations = true }
