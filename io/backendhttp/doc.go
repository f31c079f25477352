// Package backendhttp connects a node to its local backend server. It serves the HTTP interface at which the backend server
// announces itself, and implements core.Backend, which queues calls and sends them over HTTP.
//
// It has its own pool of HTTP/1.1 connections for two reasons: http.Transport retries requests by itself, and the outcome of a call
// depends on whether any byte of it may have been written.
package backendhttp
