// Package memory bounds the memory for what peers choose to send. It has no sockets, clocks or goroutines.
package memory
