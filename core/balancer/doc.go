// Package balancer chooses the endpoint for each attempt of a call. It judges endpoints by what this node has seen of
// them (outstanding attempts, latency, failures), because reported health and load lag or mislead.
package balancer
