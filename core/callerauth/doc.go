// Package callerauth decides whether a request of a caller is admitted, and to which tenant it belongs.
package callerauth
