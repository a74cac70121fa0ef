// Package queue orders the asks that wait for one backend server; it does no I/O.
//
// Within an urgency class the workspaces share by weight, and the ask with the least slack goes first
// among the workspaces that have not had more than their share. Waiting raises the class, so that nothing starves.
package queue
