// Package httpserver runs the HTTP servers for operators, monitoring and backend servers, and stops them without leaving a request
// unanswered.
package httpserver
