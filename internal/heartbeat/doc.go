// Package heartbeat exchanges probes with other hosts and carries the news that hosts spread with them.
package heartbeat
