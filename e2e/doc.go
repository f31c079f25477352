// Package e2e tests parsleyport with real processes on loopback, which are killed and frozen by process id.
package e2e
