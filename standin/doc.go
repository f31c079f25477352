// Command standin plays the outside of parsleyport in the demo and in tests with real processes.
package main
