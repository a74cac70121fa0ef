// Package unread finds the fields of a JSON document that the program ignores.
package unread
