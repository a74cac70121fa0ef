// Package catalog holds the routes, services, workspaces and limits of one version of the configuration. It does no
// I/O.
package catalog
