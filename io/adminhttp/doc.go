// Package adminhttp serves the metrics, readiness and state dump of a process for monitoring and support.
package adminhttp
