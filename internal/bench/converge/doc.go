// Package converge measures how long the engines of a failure domain take to match a changed document, in virtual
// time, also when the host in charge dies or an order of an earlier holder arrives late.
package converge
