// Package metastore is a stand-in for the users' platform's metadata store, by its published protocol: items, pages,
// transactions and leases. It can simulate outages, slow responses, lost responses and a restore from
// an older copy. Watches are not implemented because nothing here uses them.
package metastore
