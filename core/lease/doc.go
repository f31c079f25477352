// Package lease holds the endpoints of all services as leased soft state. An endpoint is live while at least one owner
// (a link to a child, a parent or another control instance) vouches for it. Time is passed in.
package lease
