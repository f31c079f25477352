package core

// Limits shared by several packages.
const (
	// MaxDepth is the maximum depth of nested calls. A deeper call is refused, since it most likely is part of a call loop.
	MaxDepth = 12
	// MaxFrameBytes limits one frame between processes, so that a corrupt length prefix cannot exhaust memory.
	MaxFrameBytes = 16 << 20
	// MaxChunkBytes limits the body bytes in one frame of a call, so that long bodies do not delay other calls on the connection.
	MaxChunkBytes = 32 << 10
	// FullShare stands for all traffic.
	FullShare PerMille = 1000
)
