// Package settings reads the settings files of control instances and nodes. A file is checked whole, and all its faults
// are reported at once.
package settings
