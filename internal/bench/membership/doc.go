// Package membership measures the membership protocol of the entry hosts in virtual time: how soon a failed host is
// removed, how often a running host is wrongly suspected or removed, and how much traffic the protocol takes.
package membership
