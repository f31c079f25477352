// Package scripts contains the shell scripts of the project and the tests of known-red, which decides which tests CI skips.
package scripts
