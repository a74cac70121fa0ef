// Package summaries measures, in virtual time, how old the rows of backend servers are at the hosts of a failure
// domain, and how much traffic it takes to propagate them.
package summaries
