// Package adminhttp serves a node's metrics, readiness and state dump to monitoring and support.
package adminhttp
