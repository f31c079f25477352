// Package callreplay replays recorded calls and events through the decision modules that the nodes run (balancer,
// limiter, retry), without sockets or sleeping, and measures what the callers would have seen. Equal traces and policies
// give equal measures.
package callreplay
