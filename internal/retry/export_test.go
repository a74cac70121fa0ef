package retry

// IgnoreBudgets makes p ignore its retry budgets.
func IgnoreBudgets(p *Policy) { p.ignoreBudgets = true }
