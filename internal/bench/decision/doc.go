// Package decision measures the real time and the heap allocations of each decision that is made for a request: quota,
// admission, routing and grant.
package decision
