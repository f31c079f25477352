// Package settings reads the settings files of control instances and nodes. It checks the whole file and reports all faults at once.
package settings
