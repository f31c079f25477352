// Package retry decides which attempts of a call may be repeated and how many repetitions a node may add to its load.
package retry
