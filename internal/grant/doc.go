// Package grant decides which attempts run on one backend server and when; it does no I/O.
package grant
