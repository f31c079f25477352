// Package packed decodes msgpack that other processes or a disk supply.
package packed
