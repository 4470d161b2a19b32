package h2

import "golang.org/x/net/http2"

// StartGracefulShutdown asks the peer to start no more streams here; those that are on their way are
// still accepted (RFC 9113, section 6.8).
func (c *Conn) StartGracefulShutdown() {
	if !c.GoAwaySent() {
		c.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil)
	}
}

// GoAway accepts no more streams from here on; open ones go on.
func (c *Conn) GoAway(code ErrorCode) {
	if !c.GoAwaySent() {
		c.lastAcceptedStreamID = c.lastPeerStreamID
		c.framer.WriteGoAway(c.lastPeerStreamID, code, nil)
	}
}

// GoAwaySent reports whether GoAway was called.
func (c *Conn) GoAwaySent() bool { return c.lastAcceptedStreamID != maxStreamID }

// goAwayFrameReceived handles GOAWAY: streams past the last one that it names were not processed, the
// others go on.
func (c *Conn) goAwayFrameReceived(frame *http2.GoAwayFrame) error {
	c.goAwayReceived = true
	// First the connection, then its streams: a handler that starts an unprocessed stream again must
	// not find this connection open for it.
	c.handler.GoAwayReceived(frame.ErrCode)
	for _, id := range c.streamIDs() {
		if s := c.streams[id]; s != nil && c.isLocal(id) && id > frame.LastStreamID {
			c.closeStream(s)
			c.handler.StreamUnprocessed(s)
		}
	}
	return c.countControlFrame()
}
