// Package document holds the operators' configuration document, its sections and its checks.
package document
