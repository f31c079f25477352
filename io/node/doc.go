// Package node assembles the process that runs beside a backend server: configuration and endpoints from the tree, the
// callers' entry, calls to and from other nodes, and the local backend server.
package node
