// Package idempotency holds the state that keeps calls from running twice: the attempts that a node has received or that were
// revoked before they arrived, the idempotency keys with their recorded answers, and the requests that are suspected to crash
// backend servers. Its types are not safe for concurrent use.
package idempotency
