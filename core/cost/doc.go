// Package cost learns how long calls hold a slot of a backend server, by what distinguishes calls, and estimates how long a running
// call will take still.
package cost
