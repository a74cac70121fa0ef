// Package unread finds the fields of a JSON document that its reader doesn't know.
package unread
