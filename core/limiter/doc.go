// Package limiter decides which calls a backend server runs at the same time, which ones wait and which ones are shed.
// The concurrency limit adapts to what the backend server shows, tenants share it equally, and a call is shed only if it
// would miss its deadline or if its tenant takes more than its share of a full queue.
package limiter
