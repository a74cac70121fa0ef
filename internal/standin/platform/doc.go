// Package platform is a stand-in of the platform's key-value service and host list for the demo and tests.
package platform
