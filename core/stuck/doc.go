// Package stuck tells calls to a backend server that will never be answered from calls that take long.
package stuck
