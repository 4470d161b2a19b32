package h2

import (
	"errors"

	"golang.org/x/net/http2"
)

// Feed reads received bytes; now is their time in ms. After an error, mostly a *ConnectionError, the
// connection has ended: TakeOutput returns the GOAWAY that tells the peer, and nothing more is read.
func (c *Conn) Feed(b []byte, now float64) error {
	c.now = now
	if c.failure != nil {
		return c.failure
	}
	b, err := c.readPreface(b)
	for err == nil && len(b) > 0 {
		b, err = c.readNext(b)
	}
	if err != nil {
		return c.fail(err)
	}
	return nil
}

// readPreface checks the client's preface as far as it has come, and returns the rest of b.
func (c *Conn) readPreface(b []byte) ([]byte, error) {
	if c.prefaceBytes == len(clientPreface) {
		return b, nil
	}
	n := min(len(clientPreface)-c.prefaceBytes, len(b))
	if string(b[:n]) != clientPreface[c.prefaceBytes:c.prefaceBytes+n] {
		return nil, connectionError(http2.ErrCodeProtocol, "no HTTP/2 preface")
	}
	c.prefaceBytes += n
	return b[n:], nil
}

// readNext reads one frame, or keeps the part of it that has come, and returns the rest of b. A frame
// that lies completely within b is read without a copy.
func (c *Conn) readNext(b []byte) ([]byte, error) {
	if len(c.partialFrame) > 0 {
		return c.completeFrame(b)
	}
	if len(b) < frameHeaderBytes {
		c.partialFrame = append(c.partialFrame, b...)
		return nil, nil
	}
	size, err := frameSize(b)
	if err != nil {
		return nil, err
	}
	if len(b) < size {
		c.partialFrame = append(c.partialFrame, b...)
		return nil, nil
	}
	return b[size:], c.readFrame(b[:size])
}

// completeFrame adds to the frame of which a part has come, reads it once it is complete, and returns
// the rest of b.
func (c *Conn) completeFrame(b []byte) ([]byte, error) {
	b = c.growPartialFrame(b, frameHeaderBytes)
	if len(c.partialFrame) < frameHeaderBytes {
		return nil, nil
	}
	size, err := frameSize(c.partialFrame)
	if err != nil {
		return nil, err
	}
	b = c.growPartialFrame(b, size)
	if len(c.partialFrame) < size {
		return nil, nil
	}
	frame := c.partialFrame
	c.partialFrame = nil
	return b, c.readFrame(frame)
}

// growPartialFrame moves bytes of b to the partial frame until that has a size, and returns the rest.
func (c *Conn) growPartialFrame(b []byte, size int) []byte {
	n := min(max(size-len(c.partialFrame), 0), len(b))
	c.partialFrame = append(c.partialFrame, b[:n]...)
	return b[n:]
}

// frameSize reads the size of a frame, its header included.
func frameSize(header []byte) (int, error) {
	size := int(header[0])<<16 | int(header[1])<<8 | int(header[2])
	if size > minMaxFrameSize {
		return 0, connectionError(http2.ErrCodeFrameSize, "a frame over what was allowed")
	}
	return frameHeaderBytes + size, nil
}

// readFrame reads one complete frame.
func (c *Conn) readFrame(b []byte) error {
	c.frameReader.Reset(b)
	frame, err := c.framer.ReadFrame()
	if err != nil {
		return c.unreadableFrame(err)
	}
	if !c.settingsReceived && frame.Header().Type != http2.FrameSettings {
		return connectionError(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
	}
	return c.dispatch(frame)
}

// unreadableFrame handles a frame that the framer rejects.
func (c *Conn) unreadableFrame(err error) error {
	var ofStream http2.StreamError
	var ofConnection http2.ConnectionError
	switch {
	case errors.As(err, &ofStream):
		// Wrong for one stream only: a window update of 0, for example.
		if s := c.streams[ofStream.StreamID]; s != nil {
			return c.streamError(s, ofStream.Code)
		}
		if c.isIdle(ofStream.StreamID) {
			return connectionError(ofStream.Code, "on a stream that has not begun")
		}
		return c.countControlFrame()
	case errors.As(err, &ofConnection):
		return connectionError(ErrorCode(ofConnection), "a frame that cannot be read")
	}
	return connectionError(http2.ErrCodeProtocol, err.Error())
}

// dispatch handles a frame by its type. Frames of unknown types and PRIORITY are ignored, but counted.
func (c *Conn) dispatch(frame http2.Frame) error {
	switch frame := frame.(type) {
	case *http2.HeadersFrame:
		return c.headersFrameReceived(frame)
	case *http2.ContinuationFrame:
		return c.addFragment(frame.HeaderBlockFragment(), frame.HeadersEnded())
	case *http2.DataFrame:
		return c.dataFrameReceived(frame)
	case *http2.SettingsFrame:
		return c.settingsFrameReceived(frame)
	case *http2.RSTStreamFrame:
		return c.resetReceived(frame)
	case *http2.WindowUpdateFrame:
		return c.windowUpdateReceived(frame)
	case *http2.PingFrame:
		if !frame.IsAck() {
			c.framer.WritePing(true, frame.Data)
		}
	case *http2.GoAwayFrame:
		return c.goAwayFrameReceived(frame)
	case *http2.PushPromiseFrame:
		return connectionError(http2.ErrCodeProtocol, "a push that was not asked for")
	}
	return c.countControlFrame()
}
