// Package loglimit bounds the lines that a process writes about calls, and counts those that it leaves out.
package loglimit
