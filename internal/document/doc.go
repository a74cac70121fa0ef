// Package document defines the configuration document that operators edit: its sections, its encoding as JSON with
// comments, and the checks of its values.
package document
