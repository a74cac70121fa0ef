// Package jsonc reads JSON with comments into structs and says where an error stands.
package jsonc
