// Package inventory keeps a copy of the platform's host list up to date and shares it with other hosts.
package inventory
