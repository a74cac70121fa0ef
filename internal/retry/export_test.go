package retry

// Unlimited makes p ignore its retry budgets.
func Unlimited(p *Policy) { p.ignoreBudgets = true }
