// Package paths is the file by which the fault soak tells the process of an entry host which of its paths to replicas work.
package paths
