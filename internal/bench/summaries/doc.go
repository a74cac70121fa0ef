// Package summaries measures how old the rows of backend servers are at the hosts of a failure domain and what
// spreading them costs.
package summaries
