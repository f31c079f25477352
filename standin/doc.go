// Command standin simulates the backend servers and callers around parsleyport in the demo and the end-to-end tests.
package main
