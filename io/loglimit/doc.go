// Package loglimit wraps loggers: one wrapper adds the time to each line, the other limits the rate of lines about calls and counts
// the dropped ones.
package loglimit
