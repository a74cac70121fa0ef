// Package platform is the client of the platform's key-value service and host list.
package platform
