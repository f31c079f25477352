// Package callreplay replays recorded calls and events, and load patterns of whole fleets, through the modules that balance, limit and
// retry calls in the nodes, with simulated time and no sockets, and measures what the callers would have seen. Equal inputs, rules and
// seeds give equal measures.
package callreplay
