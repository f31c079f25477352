// Package replay drives the decision modules of moves with recorded traces and measures their decisions, without
// sockets and sleeping.
package replay
