package release

// Once lets t never repeat a release.
func Once(t *Tracker) { t.once = true }

// Unexpired lets c never free expired memory.
func Unexpired(c *Comparison) { c.unexpired = true }

// Unowned lets c free what hosts hold that seem to be gone.
func Unowned(c *Comparison) { c.unowned = true }
