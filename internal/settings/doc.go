// Package settings reads and checks the settings file of a host.
package settings
