// Package jsonc decodes JSON with comments into structs. Its errors contain the line, the column and the path of the
// field.
package jsonc
