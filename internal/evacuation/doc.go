// Package evacuation decides which failure domains are evacuated: which of two reads of the store counts, what a store that
// was restored from an older copy may end, and when the store must be read again. It does no I/O.
package evacuation
