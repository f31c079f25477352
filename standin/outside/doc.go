// Package outside plays the systems around parsleyport: a backend server with faults that can be switched on, a caller that
// records every call, and a check of what both have recorded.
package outside
