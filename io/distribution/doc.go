// Package distribution carries configuration and endpoints from the control instances to every node over a tree of
// relays, and announcements, acknowledgements and evidence back up. A Source is the root of a tree on a control instance.
// A Subscriber is a node's place in the tree: subscriber of its parent and relay for the nodes attached below it.
package distribution
