// Package claims measures what orders cost in calls of the platform's store.
//
// The calls of the real code are counted at a stand-in of the store. Ways to write several claims at once are
// compared in virtual time.
package claims
