// Package limiter limits the concurrency of a backend server: it decides which calls run, which ones wait and which ones are
// shed. The limit adapts to observed latency and shed calls, and tenants share it equally. A call is shed only if it would miss
// its deadline, or if the queue is full and its tenant has the most waiting calls.
package limiter
