// Package limiter limits the concurrency of a backend server: it decides which calls run, which ones wait and which ones are
// shed. The limit adapts to observed latency and shed calls. Within a priority, tenants share it by weight. A call is shed only if it
// would miss its deadline, or if the queue is full, it has the lowest priority and its tenant has the most waiting calls.
package limiter
