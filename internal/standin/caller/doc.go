// Package caller sends requests to entry hosts as callers do and checks the answers of the stand-ins.
package caller
