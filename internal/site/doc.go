// Package site defines the settings of one entry host: its name, addresses, resources and limits.
package site
