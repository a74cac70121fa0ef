// Package order runs requests that must not be repeated under claims in the platform's store.
//
// The decisions are those of package claim. This package carries out its actions: it calls the store and the
// service, asks owners of claims, lets time pass, and answers the caller.
package order
