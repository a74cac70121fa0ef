// Package catalog holds the routes, services and workspaces of one version of the configuration; it does no I/O.
package catalog
