// Package metastore is a stand-in for the users' platform's metadata store, by its published protocol: items, pages,
// transactions and leases, with outages, slow answers and lost answers. Watches are left out; nothing here uses them.
package metastore
