// Package rollout decides the steps by which traffic moves from one release to another. It compares the evidence about both releases
// with sequential tests, or with binomial tests if a move is too short for these. It is a pure computation: it opens no sockets, reads
// no clocks and starts no goroutines.
package rollout
