// Package e2e tests parsleyport end to end: the processes run on loopback addresses and are killed, frozen and stopped.
package e2e
