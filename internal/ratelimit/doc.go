// Package ratelimit keeps the rate limits that backend servers name, and how many requests each limited one may still get.
// It does no I/O.
//
// A limit holds for all hosts together. A planner spends the share of it that belongs to the hosts it plans for; a host that
// plans for nobody has no share. What a server says of its limit travels between hosts as statements, of which the newest
// counts.
//
// A server that has just started is cold: it takes few requests for some seconds. That is a limit that ends by itself; it is
// kept by rules of its own, since some of it may be spent by hosts that plan for nobody.
package ratelimit
