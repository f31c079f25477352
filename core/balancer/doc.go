// Package balancer chooses the endpoint for each attempt of a call. Except for PolicyExpected, it rates endpoints only by what
// this node observes (outstanding attempts, latency, failures), because reported health and load may be outdated or wrong.
package balancer
