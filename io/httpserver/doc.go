// Package httpserver starts the HTTP servers that answer operators, monitoring and backend servers, and stops them without a
// request that is left unanswered.
package httpserver
