// Package jsonvalue decodes JSON messages that must be complete.
package jsonvalue
