// Package ring provides bounded queues that join the goroutines of a process.
package ring
