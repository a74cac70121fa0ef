// Package settings reads and validates the settings file of an entry host.
package settings
