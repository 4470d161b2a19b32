package h2

import (
	"golang.org/x/net/http2"

	"kestrelspread/internal/invariant"
)

// Pump asks the streams that are ready for data, in turn, until TakeOutput has about maxOutput bytes.
func (c *Conn) Pump(maxOutput int) {
	for c.output.Len() < maxOutput && len(c.sendQueue) > 0 {
		s := c.popSendQueue()
		if s.closed || s.localClosed || s.source == nil {
			continue
		}
		c.pumpStream(s, maxOutput-c.output.Len())
	}
}

// popSendQueue takes the stream whose turn it is.
func (c *Conn) popSendQueue() *Stream {
	s := c.sendQueue[0]
	c.sendQueue[0] = nil
	c.sendQueue = c.sendQueue[1:]
	if len(c.sendQueue) == 0 {
		c.sendQueue = nil
	}
	s.queued = false
	return s
}

// pumpStream writes at most one DATA frame of a stream, and its end if that has come.
func (c *Conn) pumpStream(s *Stream, maxOutput int) {
	maxBytes := max(min(s.sendWindow, c.sendWindow, c.peer.maxFrameSize, int64(maxOutput)), 0)
	data, end, trailers := s.source.Next(int(maxBytes))
	invariant.Check(int64(len(data)) <= maxBytes, "a source gives no more than it is asked for")
	if s.closed {
		return // the source has reset it
	}
	endsWithData := end && trailers == nil
	if len(data) > 0 || endsWithData {
		c.writeData(s, data, endsWithData)
	}
	if end {
		s.localClosed = true
		if trailers != nil {
			c.writeHeaders(s, trailers, true)
		}
		c.localEnded(s)
		return
	}
	if len(data) > 0 && s.sendWindow > 0 && c.sendWindow > 0 {
		s.Ready()
	}
}

func (c *Conn) writeData(s *Stream, data []byte, end bool) {
	s.sendWindow -= int64(len(data))
	c.sendWindow -= int64(len(data))
	if len(data) > 0 {
		c.countContentFrame()
	}
	c.framer.WriteData(s.ID, end, data)
}

// writeHeaders writes a header section as HEADERS and, past the peer's frame size, CONTINUATION.
func (c *Conn) writeHeaders(s *Stream, fields []Field, end bool) {
	c.encoded.Reset()
	for _, field := range fields {
		c.encoder.WriteField(field)
	}
	block := c.encoded.Bytes()
	n := min(len(block), int(c.peer.maxFrameSize))
	c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      s.ID,
		BlockFragment: block[:n],
		EndStream:     end,
		EndHeaders:    n == len(block),
	})
	for block = block[n:]; len(block) > 0; block = block[n:] {
		n = min(len(block), int(c.peer.maxFrameSize))
		c.framer.WriteContinuation(s.ID, n == len(block), block[:n])
	}
}
