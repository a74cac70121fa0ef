// Package ports gives tests ports for servers that are started later or again, which a port from the system can't be:
// it may be given to another socket meanwhile.
package ports
