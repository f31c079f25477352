package settings

import (
	"time"

	"parsleyport/io/pipelinehttp"
)

// Lowest and highest values of the limits for callers.
const (
	minMemoryLimit     = 16 << 20 // a process needs as much before it serves a caller
	maxMemoryLimit     = 1 << 40
	minAccountBytes    = 1 << 20 // room for a dozen heads of the highest size
	minHeadBytes       = 1 << 10
	maxHeadBytes       = 1 << 20 // as in net/http
	minHeadLines       = 16
	maxHeadLines       = 10_000
	maxEmptyLines      = 1_000
	maxChunkExtra      = 1 << 20
	maxTimeoutMS       = 60 * 60 * 1000
	maxConcurrent      = 1_000
	minConnections     = 8
	maxConnections     = 1 << 20
	minWaitingBytes    = 16 << 10 // two output buffers
	maxWaitingBytes    = 1 << 30
	minMillisecondTime = 100
)

// readCallerLimits reads the optional memory limit and the optional limits for callers. Zero stands for the default of pipelinehttp.
func readCallerLimits(top *object) pipelinehttp.Limits {
	memoryLimit := top.integer("memory-limit-bytes", minMemoryLimit, maxMemoryLimit, 0)
	o := &object{ // without keys, so that all limits get their defaults
		reader: top.reader,
		path:   "caller-limits",
	}
	if value, exists := top.take("caller-limits"); exists {
		parsed, ok := top.reader.object(element{
			path:  top.keyPath("caller-limits"),
			line:  top.lineOf("caller-limits"),
			value: value,
		})
		if !ok {
			return pipelinehttp.Limits{}
		}
		o = parsed
	}
	limits := pipelinehttp.Limits{
		HeadBytes:              o.integer("head-bytes", minHeadBytes, maxHeadBytes, 0),
		HeadLines:              o.integer("head-lines", minHeadLines, maxHeadLines, 0),
		EmptyLines:             o.integer("empty-lines", 1, maxEmptyLines, 0),
		ChunkExtraBytes:        o.integer("chunk-extra-bytes", 1, maxChunkExtra, 0),
		HeadTimeout:            o.milliseconds("head-timeout-ms"),
		RequestTimeout:         o.milliseconds("request-timeout-ms"),
		IdleTimeout:            o.milliseconds("idle-timeout-ms"),
		WriteTimeout:           o.milliseconds("write-timeout-ms"),
		ConcurrentRequests:     o.integer("concurrent-requests", 1, maxConcurrent, 0),
		ConnectionWaitingBytes: int64(o.integer("connection-waiting-bytes", minWaitingBytes, maxWaitingBytes, 0)),
		WaitingBytes:           int64(o.integer("waiting-bytes", minWaitingBytes, maxWaitingBytes, 0)),
		AccountBytes:           int64(o.integer("account-bytes", minAccountBytes, maxMemoryLimit, 0)),
		Connections:            o.integer("connections", minConnections, maxConnections, 0),
	}
	o.rejectUnknownKeys()
	if limits.AccountBytes == 0 {
		limits.AccountBytes = pipelinehttp.AccountShare(int64(memoryLimit))
	}
	return limits
}

// milliseconds reads an optional time limit.
func (o *object) milliseconds(name string) time.Duration {
	return time.Duration(o.integer(name, minMillisecondTime, maxTimeoutMS, 0)) * time.Millisecond
}
