// Package distribution carries configuration and endpoints from the control instances to every node over a tree of relays, and
// carries announcements, acknowledgements and evidence in the opposite direction. A Source is the root of a tree on a control
// instance. A Subscriber is a node of the tree: it subscribes to its parent and relays to the nodes attached below it.
package distribution
