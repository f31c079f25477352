// Package loglimit makes loggers: with the time of each line, and with a bound on the lines about calls, of which it counts those
// that it leaves out.
package loglimit
