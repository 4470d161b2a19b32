package h2

import (
	"slices"

	"golang.org/x/net/http2"

	"kestrelspread/internal/invariant"
)

// Stream is one request and its response.
type Stream struct {
	ID            uint32
	UserData      any // the caller's
	conn          *Conn
	source        DataSource
	sendWindow    int64 // bytes that may still be sent; SETTINGS can make it negative
	receiveWindow int64 // bytes that the peer may still send
	creditPending int64 // credited bytes that no WINDOW_UPDATE has returned yet
	headerBlocks  int   // received, interim responses and trailers included
	headersSent   bool
	remoteClosed  bool // the peer has sent END_STREAM
	localClosed   bool // this side has sent END_STREAM
	queued        bool // in Conn.sendQueue
	closed        bool
}

// HeaderBlocks returns how many header sections have been received.
func (s *Stream) HeaderBlocks() int { return s.headerBlocks }

// HeadersSent reports whether this side's header section has been written.
func (s *Stream) HeadersSent() bool { return s.headersSent }

// Ready has the stream's source asked by the next Pump.
func (s *Stream) Ready() {
	if s.queued || s.closed || s.localClosed || s.source == nil {
		return
	}
	s.queued = true
	s.conn.sendQueue = append(s.conn.sendQueue, s)
}

// Credit allows the peer to send n bytes more.
func (s *Stream) Credit(n int) {
	if s.closed || s.remoteClosed || n <= 0 {
		return
	}
	s.creditPending += int64(n)
	if s.creditPending < int64(s.conn.limits.InitialWindowSize)/creditFraction {
		return
	}
	s.receiveWindow += s.creditPending
	s.conn.framer.WriteWindowUpdate(s.ID, uint32(s.creditPending))
	s.creditPending = 0
}

// isLocal reports whether an identifier is one of those that this side uses.
func (c *Conn) isLocal(id uint32) bool { return (id%2 == 1) != c.server }

// isIdle reports whether a stream has not been started yet.
func (c *Conn) isIdle(id uint32) bool {
	if c.isLocal(id) {
		return id >= c.nextStreamID
	}
	return id > c.lastPeerStreamID
}

// CanStartStream reports whether this side may start a stream now.
func (c *Conn) CanStartStream() bool {
	return c.failure == nil && !c.goAwayReceived && int64(c.localStreams) < c.peer.maxConcurrentStreams &&
		c.nextStreamID < maxStreamID-2
}

// StreamIDsRunningOut reports whether half of this side's stream identifiers are used up.
func (c *Conn) StreamIDsRunningOut() bool { return c.nextStreamID > maxStreamID/2 }

// StartStream starts a stream of this side; CanStartStream must hold. The header section is written
// at once, the body by Pump.
func (c *Conn) StartStream(fields []Field, source DataSource, userData any) *Stream {
	invariant.Check(c.CanStartStream(), "a stream is begun where there is room")
	s := c.newStream(c.nextStreamID)
	s.UserData, s.source, s.headersSent = userData, source, true
	c.nextStreamID += 2
	c.localStreams++
	c.writeHeaders(s, fields, false)
	s.Ready()
	return s
}

// newStream adds an open stream.
func (c *Conn) newStream(id uint32) *Stream {
	s := &Stream{
		ID:            id,
		conn:          c,
		sendWindow:    c.peer.initialWindowSize,
		receiveWindow: int64(c.limits.InitialWindowSize),
	}
	c.streams[id] = s
	return s
}

// Respond writes the header section of this side for a stream of the peer. With end it is all, and
// source may be nil.
func (c *Conn) Respond(s *Stream, fields []Field, end bool, source DataSource) {
	if s.closed || s.localClosed {
		return
	}
	s.headersSent = true
	s.source = source
	c.writeHeaders(s, fields, end)
	if end {
		s.localClosed = true
		c.localEnded(s)
		return
	}
	s.Ready()
}

// EndWithTrailers ends this side with trailers now and drops what its source still has: trailers need
// no flow control window.
func (c *Conn) EndWithTrailers(s *Stream, trailers []Field) {
	if s.closed || s.localClosed {
		return
	}
	s.localClosed = true
	c.writeHeaders(s, trailers, true)
	c.localEnded(s)
}

// localEnded follows the end of this side. A server that has sent its whole response needs the rest
// of the request no longer (RFC 9113, section 8.1).
func (c *Conn) localEnded(s *Stream) {
	if c.server && !s.remoteClosed {
		c.framer.WriteRSTStream(s.ID, http2.ErrCodeNo)
		c.closeStream(s)
		return
	}
	c.closeIfEnded(s)
}

// ResetStream closes a stream at once.
func (c *Conn) ResetStream(s *Stream, code ErrorCode) {
	if s.closed {
		return
	}
	if !s.remoteClosed || !s.localClosed { // else both sides have ended anyway
		c.framer.WriteRSTStream(s.ID, code)
	}
	c.closeStream(s)
}

func (c *Conn) closeIfEnded(s *Stream) {
	if s.remoteClosed && s.localClosed {
		c.closeStream(s)
	}
}

func (c *Conn) closeStream(s *Stream) {
	if s.closed {
		return
	}
	s.closed = true
	s.source = nil
	delete(c.streams, s.ID)
	if c.isLocal(s.ID) {
		c.localStreams--
	} else {
		c.peerStreams--
	}
}

// streamError resets a stream for a violation of its peer. It costs as much as a stream that the peer
// resets, and counts as one.
func (c *Conn) streamError(s *Stream, code ErrorCode) error {
	c.ResetStream(s, code)
	c.handler.StreamReset(s, code)
	if c.server {
		return c.countReset()
	}
	return nil
}

// resetReceived handles RST_STREAM.
func (c *Conn) resetReceived(frame *http2.RSTStreamFrame) error {
	s := c.streams[frame.StreamID]
	if s == nil {
		if c.isIdle(frame.StreamID) {
			return connectionError(http2.ErrCodeProtocol, "reset of a stream that has not begun")
		}
		return c.countControlFrame()
	}
	c.closeStream(s)
	c.handler.StreamReset(s, frame.ErrCode)
	if c.server {
		return c.countReset()
	}
	return nil
}

// streamIDs returns the identifiers of the open streams in order: what happens to several of them
// must not depend on the order of a map.
func (c *Conn) streamIDs() []uint32 {
	ids := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Streams returns the open streams in the order of their identifiers.
func (c *Conn) Streams() []*Stream {
	streams := make([]*Stream, 0, len(c.streams))
	for _, id := range c.streamIDs() {
		streams = append(streams, c.streams[id])
	}
	return streams
}
