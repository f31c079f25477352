// Package cli implements the command line of parsleyport: the commands that run a control instance or a node, the commands for
// operators, and the commands that work on files only.
package cli
