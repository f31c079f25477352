// Package outside simulates the systems around parsleyport: a backend server with configurable faults, a caller that logs each
// call, a check of the logs of both, and a converter from a call log to a trace.
package outside
