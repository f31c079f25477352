// Package record checks configuration records and builds immutable configurations from them, with deltas between two
// configurations and a hash that proves that a delta was applied to the right one.
package record
