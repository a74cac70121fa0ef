// Package ports gives tests TCP ports for servers that are started later or restarted. A port that the system
// assigns to a listener on port 0 is not suitable for that: while the listener is closed, the system may assign it to
// another socket.
package ports
