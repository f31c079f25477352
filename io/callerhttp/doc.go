// Package callerhttp is the HTTP server of a node for local callers; this node is the entry node of their calls. It matches each
// request to a route, selects a release and an endpoint, retries and hedges within the retry rules, and streams the answer back. Each
// answer tells the caller whether its request was answered, was not run, or may have run.
package callerhttp
