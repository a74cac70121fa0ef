// Package converge measures, in virtual time, how long the engines of a failure domain take to match a changed
// configuration document. It includes the cases in which the host that holds the controller's lease fails, and in which
// a late command of an earlier lease holder takes effect.
package converge
