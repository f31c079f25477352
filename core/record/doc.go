// Package record checks configuration records and builds immutable configurations from them. It also computes the deltas
// between two configurations, and a hash that proves that a delta was applied to the right configuration.
package record
