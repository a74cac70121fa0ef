// Package share measures which workspace uses more of a service's prefill time than all others together. It does no I/O.
package share
