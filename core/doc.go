// Package core is the root package of parsleyport: named ids and units, the data that crosses package borders,
// and the interfaces that the packages below it implement. It has no sockets, clocks or goroutines.
package core
