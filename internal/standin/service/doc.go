// Package service is a stand-in of a plain service for the demo and tests.
package service
