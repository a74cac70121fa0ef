// Package membership measures the membership of entry hosts in virtual time: how fast a death is noticed, how often a
// live host is wrongly suspected, and what it costs.
package membership
