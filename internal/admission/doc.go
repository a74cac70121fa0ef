// Package admission refuses requests whose prefill no backend server can end within the time they have left. It does no
// I/O.
package admission
