// Package cli is the command line of parsleyport: the two processes and the operators' commands.
package cli
