// Package replay simulates recorded moves, drives the decision rules with their evidence and measures the decisions. It uses simulated
// time and no sockets.
package replay
