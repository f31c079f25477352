// Package node assembles the process that runs beside a backend server: the subscriber of the distribution tree, the server for
// callers, the calls to and from other nodes, and the server for the local backend server.
package node
