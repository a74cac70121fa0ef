// Package controller brings engines to the models, adapters and roles that the configuration wants.
package controller
