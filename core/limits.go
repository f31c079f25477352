package core

// Limits that apply to more than one package.
const (
	// MaxDepth is the greatest number of nested calls; a deeper call is refused as a loop.
	MaxDepth = 12
	// MaxFrameBytes bounds one frame between processes, so that a broken length prefix cannot exhaust memory.
	MaxFrameBytes = 16 << 20
	// MaxChunkBytes bounds the body bytes in one frame of a call, so that long bodies do not delay other calls.
	MaxChunkBytes = 32 << 10
	// FullShare is the share of all traffic.
	FullShare PerMille = 1000
)
