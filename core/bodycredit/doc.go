// Package bodycredit decides in which order long request bodies may cross a node's link, and which calls are refused because theirs
// would arrive too late. It has no sockets, clocks or goroutines.
package bodycredit
