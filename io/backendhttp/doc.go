// Package backendhttp is a node's side of its local backend server: the endpoint at which the backend server announces
// itself, and the core.Backend that queues calls and hands them over by HTTP.
//
// It has its own pool of HTTP/1.1 connections because http.Transport resends requests by itself, and because the outcome
// of a call depends on whether any byte of it may have been written.
package backendhttp
