// Package quarantine finds the contents of requests that crash replicas, a whole request or a part of its prompt, and
// decides which requests are refused for them. It does no I/O.
//
// A part is quarantined if it was at several crashes and belongs to the parts that explain all crashes with the fewest
// requests. A part is cleared by any request with it that a replica has completed, since a part that crashes replicas does
// so whatever else the request holds. Several crashes at about the same time have another cause unless the explanation
// holds for most of them. Where requests with the same parts crashed, all these parts together are quarantined: other
// requests may hold some of them.
package quarantine
