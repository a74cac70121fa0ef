package retry

// Unlimited lets p ignore its budgets.
func Unlimited(p *Policy) { p.unlimited = true }
