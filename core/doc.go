// Package core is the root package of parsleyport. It declares the identifiers, units and data types that several packages
// share, and the interfaces that the packages below it implement. It has no sockets, clocks or goroutines.
package core
