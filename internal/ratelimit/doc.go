// Package ratelimit keeps the rate limits that backend servers name, and how many requests each limited one may still get.
// It does no I/O.
//
// A limit holds for all hosts together. A planner spends the share of it that belongs to the hosts it plans for; a host that
// plans for nobody has no share. What a server says of its limit travels between hosts as statements, of which the newest
// counts.
package ratelimit
