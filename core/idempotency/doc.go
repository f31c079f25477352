// Package idempotency holds the memory that keeps a call from running twice: the attempts that a node has seen or that
// were revoked before they arrived, the idempotency keys with their recorded answers, and the requests that are
// suspected to crash backend servers. It has no locks: its users hold their own.
package idempotency
