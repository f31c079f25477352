// Package rollout decides the steps of moves of traffic between releases, without sockets, clocks or goroutines.
package rollout
