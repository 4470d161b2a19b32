package h2

import "golang.org/x/net/http2"

// dataFrameReceived handles DATA. Padding counts against the windows.
func (c *Conn) dataFrameReceived(frame *http2.DataFrame) error {
	size := int64(frame.Header().Length)
	if err := c.receiveOnConnection(size); err != nil {
		return err
	}
	data, end := frame.Data(), frame.StreamEnded()
	if len(data) > 0 {
		c.countContentFrame()
	} else if !end {
		if err := c.countControlFrame(); err != nil {
			return err
		}
	}
	s := c.streams[frame.StreamID]
	switch {
	case s == nil && c.isIdle(frame.StreamID):
		return connectionError(http2.ErrCodeProtocol, "data on a stream that has not begun")
	case s == nil:
		return nil // closed here, and this was on its way
	case s.remoteClosed || s.headerBlocks == 0:
		return c.streamError(s, http2.ErrCodeStreamClosed)
	}
	s.receiveWindow -= size
	if s.receiveWindow < 0 {
		return c.streamError(s, http2.ErrCodeFlowControl)
	}
	s.Credit(int(size) - len(data)) // the padding
	s.remoteClosed = end
	if len(data) > 0 || end {
		c.handler.DataReceived(s, data, end)
	}
	c.closeIfEnded(s)
	return nil
}

// receiveOnConnection takes received bytes off the connection's window, and returns them at once: what
// a stream holds is bounded by its own window.
func (c *Conn) receiveOnConnection(size int64) error {
	c.receiveWindow -= size
	if c.receiveWindow < 0 {
		return connectionError(http2.ErrCodeFlowControl, "more than the connection's window")
	}
	c.creditPending += size
	if c.creditPending >= connectionWindowSize/creditFraction {
		c.framer.WriteWindowUpdate(0, uint32(c.creditPending))
		c.receiveWindow += c.creditPending
		c.creditPending = 0
	}
	return nil
}

// windowUpdateReceived handles WINDOW_UPDATE.
func (c *Conn) windowUpdateReceived(frame *http2.WindowUpdateFrame) error {
	if frame.StreamID == 0 {
		c.sendWindow += int64(frame.Increment)
		if c.sendWindow > maxWindowSize {
			return windowTooLarge()
		}
		c.readyAll()
		return c.countControlFrame()
	}
	s := c.streams[frame.StreamID]
	if s == nil {
		if c.isIdle(frame.StreamID) {
			return connectionError(http2.ErrCodeProtocol, "a window for a stream that has not begun")
		}
		return c.countControlFrame()
	}
	s.sendWindow += int64(frame.Increment)
	if s.sendWindow > maxWindowSize {
		return c.streamError(s, http2.ErrCodeFlowControl)
	}
	s.Ready()
	return c.countControlFrame()
}

// setPeerInitialWindow moves the windows of all open streams with the peer's initial window
// (RFC 9113, section 6.9.2).
func (c *Conn) setPeerInitialWindow(size int64) error {
	change := size - c.peer.initialWindowSize
	c.peer.initialWindowSize = size
	for _, s := range c.streams {
		s.sendWindow += change
		if s.sendWindow > maxWindowSize {
			return windowTooLarge()
		}
	}
	if change > 0 {
		c.readyAll()
	}
	return nil
}

func windowTooLarge() error {
	return connectionError(http2.ErrCodeFlowControl, "a window over the most")
}

// readyAll has every stream that sends asked again.
func (c *Conn) readyAll() {
	for _, id := range c.streamIDs() {
		if s := c.streams[id]; s.source != nil {
			s.Ready()
		}
	}
}
