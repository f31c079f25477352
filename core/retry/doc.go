// Package retry decides which attempts of a call may be retried or hedged, and limits the load that retries add.
package retry
