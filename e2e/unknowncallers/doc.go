// Package unknowncallers tests the listening ports of parsleyport's processes against clients that nobody controls: the processes must
// stay alive, within their memory and file descriptors, and answer ordinary requests.
package unknowncallers
