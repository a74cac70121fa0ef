// Package engine is the client of the model engines' HTTP interface.
//
// Connections are kept for each engine in a pool. When one goes silent, the pool is replaced, so that later calls dial
// anew instead of waiting on connections that share its fate.
package engine
