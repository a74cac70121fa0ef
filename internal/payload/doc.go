// Package payload bounds the memory that a host takes for the payloads of all requests and responses which it holds as a whole.
package payload
