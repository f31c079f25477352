// Package membership decides which control instances are members of the replicated log when instances fail, lose their disks or are
// replaced at other addresses.
package membership
