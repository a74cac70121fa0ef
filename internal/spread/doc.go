// Package spread brings accepted configuration to each host.
package spread
