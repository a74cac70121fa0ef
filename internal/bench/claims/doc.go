// Package claims measures how many calls to the platform's store an order takes.
//
// The calls that the code of package order makes are counted by a stand-in for the store. Strategies that write several
// claims with one call are compared in virtual time.
package claims
