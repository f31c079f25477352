// Package membership decides which instances take part in the replicated log when instances fail, lose their disks or are
// replaced at other addresses.
package membership
