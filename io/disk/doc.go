// Package disk stores the identity, hard state, log and snapshots of a control instance in its data folder. Every write
// is one checksummed record and is synced before the call returns. After a failed write or sync the store refuses
// everything: the state of the file is unknown, and a repeated fsync may report success without the data.
package disk
