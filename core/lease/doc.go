// Package lease holds the endpoints of all services as leased soft state. An endpoint is live while at least one owner (the link to
// a child, a parent or another control instance) holds a lease on it. The current time is passed in.
package lease
