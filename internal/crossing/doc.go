// Package crossing counts the traffic of one host that crosses between failure domains, and learns how long responses are.
package crossing
