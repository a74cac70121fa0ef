// Package controller brings engines to the models, adapters and roles that the configuration wants.
//
// One host of each failure domain does so under a lease. Orders are declarative and idempotent and carry the
// lease's fencing number, so repeating one is harmless and engines that check the number refuse a late holder.
package controller
