// Package scripts holds the shell scripts of the project and the tests of those that decide what CI runs.
package scripts
