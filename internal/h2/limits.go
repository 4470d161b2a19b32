package h2

import (
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Field is one field of a header or trailer section; pseudo-header fields begin with a colon.
type Field = hpack.HeaderField

// ErrorCode is an HTTP/2 error code (RFC 9113, section 7).
type ErrorCode = http2.ErrCode

// Limits bound what a peer may have this side do. All must be set, except MaxFrameSize and, for a
// client, MaxConcurrentStreams.
type Limits struct {
	MaxConcurrentStreams      int // streams that the peer may have open at once
	InitialWindowSize         int // uncredited bytes of a stream, at most 2^31-1
	MaxHeaderListSize         int // bytes, counted as for SETTINGS_MAX_HEADER_LIST_SIZE
	MaxFrameSize              int // payload bytes of a frame that is sent; below 16384: 16384
	MaxResetsPerSecond        int // streams that the peer starts and that are reset
	MaxControlFramesPerSecond int // frames without content, beyond four for each that has some
}

// Values of RFC 9113 and RFC 7541.
const (
	clientPreface     = http2.ClientPreface
	frameHeaderBytes  = 9
	minMaxFrameSize   = 16 << 10 // no frame longer than that is accepted here
	defaultWindowSize = 65535
	maxWindowSize     = 1<<31 - 1
	maxStreamID       = 1<<31 - 1
	headerTableSize   = 4096 // bytes of either dynamic table
	fieldOverhead     = 32   // bytes that each field counts beyond its name and value
)

// Values of this package.
const (
	connectionWindowSize = 1 << 20
	// creditFraction is the part of a window from which credit is worth a WINDOW_UPDATE.
	creditFraction = 4
	// assumedMaxStreams is what a peer is taken to allow before its SETTINGS come: the least that
	// RFC 9113, section 5.1.2, recommends.
	assumedMaxStreams = 100
	// maxReportedStreams keeps PeerMaxConcurrentStreams within an int of 32 bits.
	maxReportedStreams = 1 << 30
	// maxRetainedBlockBytes is up to which size the buffer of header blocks is used again.
	maxRetainedBlockBytes = 4 << 10
)
