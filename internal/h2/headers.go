package h2

import "golang.org/x/net/http2"

// headerBlock is the header section that is being received.
type headerBlock struct {
	streamID   uint32
	endsStream bool
	open       bool    // CONTINUATION must follow
	fragments  []byte  // encoded, as far as they have come
	fields     []Field // decoded, as long as they are within the limit
	listSize   int     // of all fields, as SETTINGS_MAX_HEADER_LIST_SIZE counts
}

// addField takes a decoded field (hpack's emit function).
func (c *Conn) addField(field Field) {
	c.block.listSize += len(field.Name) + len(field.Value) + fieldOverhead
	if c.block.listSize <= c.limits.MaxHeaderListSize {
		c.block.fields = append(c.block.fields, field)
	}
}

// headersFrameReceived handles HEADERS, the beginning of a header block.
func (c *Conn) headersFrameReceived(frame *http2.HeadersFrame) error {
	id := frame.StreamID
	if c.isLocal(id) && c.isIdle(id) || !c.isLocal(id) && !c.server {
		return connectionError(http2.ErrCodeProtocol, "a header block of a stream that nobody began")
	}
	c.block.streamID, c.block.endsStream = id, frame.StreamEnded()
	c.block.fragments = c.block.fragments[:0]
	return c.addFragment(frame.HeaderBlockFragment(), frame.HeadersEnded())
}

// addFragment takes a fragment of a header block. Fragments without end cost memory and work: their
// bytes are bounded, and empty ones count as control frames.
func (c *Conn) addFragment(fragment []byte, last bool) error {
	if len(fragment) == 0 && !last {
		if err := c.countControlFrame(); err != nil {
			return err
		}
	}
	if len(c.block.fragments)+len(fragment) > c.limits.MaxHeaderListSize+minMaxFrameSize {
		return connectionError(http2.ErrCodeEnhanceYourCalm, "a header block without end")
	}
	c.block.fragments = append(c.block.fragments, fragment...)
	c.block.open = !last
	if !last {
		return nil
	}
	if err := c.decodeBlock(); err != nil {
		return connectionError(http2.ErrCodeCompression, err.Error())
	}
	defer clear(c.block.fields[:cap(c.block.fields)]) // their strings are not kept alive here
	c.countContentFrame()
	return c.headerSectionReceived(c.block.streamID, c.block.endsStream)
}

// decodeBlock decodes a complete header block.
func (c *Conn) decodeBlock() error {
	c.block.fields, c.block.listSize = c.block.fields[:0], 0
	_, err := c.decoder.Write(c.block.fragments)
	if err == nil {
		err = c.decoder.Close()
	}
	if cap(c.block.fragments) > maxRetainedBlockBytes {
		c.block.fragments = nil
	}
	return err
}

// headerSectionReceived handles a decoded header section.
func (c *Conn) headerSectionReceived(id uint32, end bool) error {
	s := c.streams[id]
	if s == nil {
		if c.isLocal(id) || !c.isIdle(id) {
			return nil // closed here, and this was on its way
		}
		started, err := c.acceptStream(id)
		if started == nil || err != nil {
			return err
		}
		s = started
	} else if s.remoteClosed {
		return c.streamError(s, http2.ErrCodeStreamClosed)
	}
	s.headerBlocks++
	if c.block.listSize > c.limits.MaxHeaderListSize {
		s.remoteClosed = s.remoteClosed || end
		c.handler.HeaderListTooLarge(s)
		return nil
	}
	further := s.headerBlocks > 1
	trailers := further && (c.server || end) // else an interim response came before
	missingEnd := further && c.server && !end
	if missingEnd || !validHeaderSection(c.block.fields, c.server, trailers) {
		return c.streamError(s, http2.ErrCodeProtocol)
	}
	s.remoteClosed = end
	c.handler.HeadersReceived(s, c.block.fields, end)
	c.closeIfEnded(s)
	return nil
}

// acceptStream adds a stream that the peer starts. It returns nil where the stream is not accepted.
func (c *Conn) acceptStream(id uint32) (*Stream, error) {
	if id%2 == 0 {
		return nil, connectionError(http2.ErrCodeProtocol, "an even stream from a client")
	}
	c.lastPeerStreamID = id
	if id > c.lastAcceptedStreamID {
		return nil, nil // the peer knows by the GOAWAY that it is not processed
	}
	if c.peerStreams >= c.limits.MaxConcurrentStreams {
		c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		return nil, c.countReset()
	}
	s := c.newStream(id)
	c.peerStreams++
	return s, nil
}
