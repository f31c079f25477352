// Command standin plays the outside of parsleyport in the demo and in tests with real processes: a backend server with
// faults that can be switched on, a caller that records every call, and a check of what both have recorded.
package main
