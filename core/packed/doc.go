// Package packed decodes msgpack from untrusted sources, such as other processes or a disk.
package packed
