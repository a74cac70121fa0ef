// Package quarantine finds the contents of requests that crash replicas, a whole request or a part of its prompt, and
// decides which requests are refused for them. It does no I/O.
//
// A content is quarantined if several replicas crashed under requests that hold it and no other content explains these
// crashes. A part is cleared by any request with it that a replica has completed, since a part that crashes replicas does
// so whatever else the request holds. Several crashes at about the same time have another cause unless the part is in
// most of them. Where requests with the same parts crashed, all these parts together are quarantined: other requests may
// hold some of them.
package quarantine
