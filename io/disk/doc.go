// Package disk stores a control instance's identity, hard state, log segments, snapshots and audit archive in its data folder.
// Every write is one record with a checksum and is synced before the call returns. After a failed write or sync the store
// refuses all further calls: the content of the file is unknown, and a repeated fsync may report success without the data.
package disk
