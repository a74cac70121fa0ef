// Package platform is an in-memory stand-in for the platform's key-value service and host list, for the demo and
// tests. Faults and rate limits can be set; they apply to the calls that hosts make, but not to those that control the
// stand-in.
package platform
