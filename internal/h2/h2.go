// Package h2 is one HTTP/2 connection (RFC 9113) of either side as a pure state machine: bytes in, events and bytes
// out. It has no socket, no clock and no goroutine: frames are read and written by x/net/http2's Framer, header blocks by
// its hpack, and what is here is what lies between: streams, windows, limits, and when to stop listening to a peer.
//
// What is to be sent is pulled from a stream's Source when windows and the caller's room allow, so nothing is buffered
// twice; what is received is owed its window only when the caller says so (Credit). A peer can thus make this side hold
// no more than Limits.Window a stream. Windows of the connection are given back at once: one stream that stands still
// costs its own window and holds no other up.
package h2

import (
	"bytes"
	"fmt"
	"slices"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"kestrelspread/internal/must"
	"kestrelspread/internal/window"
)

// Field is one header or trailer field.
type Field = hpack.HeaderField

// ErrorCode is an HTTP/2 error code.
type ErrorCode = http2.ErrCode

// Limits bound what a peer may have this side do. All are needed but for those whose absence is named.
type Limits struct {
	MaxConcurrentStreams      int // open at once that the other side began
	InitialWindowSize         int // bytes of a stream not yet credited, at most 2^31-1
	MaxHeaderListSize         int // bytes of a header list, as SETTINGS_MAX_HEADER_LIST_SIZE counts them
	MaxFrameSize              int // bytes of a frame's payload that is sent, at least 16384 (0: that)
	MaxResetsPerSecond        int // streams that the peer began and reset, in a second
	MaxControlFramesPerSecond int // frames that carry nothing (SETTINGS, PING, PRIORITY, empty DATA, WINDOW_UPDATE), in a second, beyond four for each that does
}

const (
	minMaxFrameSize              = 16 << 10 // the protocol's least; what is received is never longer here
	frameHeaderBytes             = 9
	clientPreface                = http2.ClientPreface
	defaultWindowSize            = 65535
	maxWindowSize                = 1<<31 - 1
	connectionWindowSize         = 1 << 20
	headerTableSize              = 4096
	rateSpanMillis               = 1000. // over which rates are counted
	controlFramesPerContentFrame = 4     // frames without content for each with some
	maxStreamID                  = 1<<31 - 1
)

// Handler are what a connection tells. Streams, fields and bytes are good within the call; a Stream until its end.
type Handler interface {
	// HeadersReceived is a header block: the first of a stream, or its trailers. end: nothing follows from the other side.
	HeadersReceived(s *Stream, fields []Field, end bool)
	// HeaderListTooLarge is a header block over Limits.Headers, whose fields are not kept.
	HeaderListTooLarge(s *Stream)
	// DataReceived is part of a body; over how much more may come Credit decides.
	DataReceived(s *Stream, b []byte, end bool)
	// StreamReset ends a stream at once: by the other side's code, or for what was wrong with it.
	StreamReset(s *Stream, code ErrorCode)
	// StreamUnprocessed is a stream that the other side says it has not looked at and never will.
	StreamUnprocessed(s *Stream)
	// GoAwayReceived: the other side takes no new streams on this connection.
	GoAwayReceived(code ErrorCode)
	// SettingsReceived of the other side have come: how many streams it takes may have changed.
	SettingsReceived()
}

// DataSource gives what a stream sends. Next is asked for at most so many bytes, which it must not change later; end: they
// are the last, with trailers after them where there are any. Nothing and no end: there is nothing to send now; Ready tells
// when there is. It may be asked for 0 bytes, to learn whether it ends.
type DataSource interface {
	Next(most int) (b []byte, end bool, trailers []Field)
}

// ConnectionError ends a connection.
type ConnectionError struct {
	Code   ErrorCode
	Reason string
}

// Error names the code and what was wrong.
func (e *ConnectionError) Error() string { return fmt.Sprintf("%v: %s", e.Code, e.Reason) }

func fatal(code ErrorCode, why string) error { return &ConnectionError{code, why} }

// Stream is one request and its response.
type Stream struct {
	ID            uint32
	UserData      any // the caller's
	conn          *Conn
	source        DataSource
	sendWindow    int64 // what may still be sent
	receiveWindow int64 // what may still be received
	creditPending int64 // credited, not yet told
	headerBlocks  int   // header blocks that came
	headersSent   bool  // this side's header block is out
	remoteClosed  bool
	localClosed   bool
	queued        bool
	closed        bool
}

// HeaderBlocks tells how many header blocks have come.
func (s *Stream) HeaderBlocks() int { return s.headerBlocks }

// Closed tells whether the stream has ended on both sides, or at once.
func (s *Stream) Closed() bool { return s.closed }

// RemoteClosed tells whether the other side has ended.
func (s *Stream) RemoteClosed() bool { return s.remoteClosed }

// Conn is one side of a connection.
type Conn struct {
	server                bool
	limits                Limits
	events                Handler
	framer                *http2.Framer
	frameReader           bytes.Reader
	output                bytes.Buffer
	partialFrame          []byte // half a frame
	prefaceBytes          int    // bytes of the preface that have come
	settingsReceived      bool   // the other side's SETTINGS have come
	decoder               *hpack.Decoder
	encoder               *hpack.Encoder
	encodedBlock          bytes.Buffer
	headerFields          []Field
	headerListSize        int
	headerBlock           []byte // a header block that has come in part
	headerBlockStreamID   uint32
	headerBlockEndsStream bool
	headerBlockOpen       bool
	streams               map[uint32]*Stream
	sendQueue             []*Stream // have something to send, in turn
	nextStreamID          uint32    // the next that this side begins
	lastPeerStreamID      uint32    // the highest that the other side began
	localStreams          int       // open that this side began
	peerStreams           int
	sendWindow            int64
	receiveWindow         int64
	creditPending         int64
	peer                  struct{ window, frame, streams int64 }
	goAwayReceived        bool   // the other side has said so
	lastAcceptedStreamID  uint32 // the last stream that this side still takes, once it has said so
	failure               error
	now                   float64
	controlFrames         *window.Counts
	contentFrames         *window.Counts
	resets                *window.Counts
}

// New begins a connection; what Out gives then is to be sent first.
func New(server bool, limits Limits, events Handler) *Conn {
	limits.MaxFrameSize = max(limits.MaxFrameSize, minMaxFrameSize)
	c := &Conn{server: server, limits: limits, events: events, streams: map[uint32]*Stream{}, nextStreamID: 1, sendWindow: defaultWindowSize,
		receiveWindow: connectionWindowSize, lastAcceptedStreamID: maxStreamID, controlFrames: window.NewCounts(10, rateSpanMillis/10), contentFrames: window.NewCounts(10, rateSpanMillis/10),
		resets: window.NewCounts(10, rateSpanMillis/10)}
	c.peer.window, c.peer.frame, c.peer.streams = defaultWindowSize, minMaxFrameSize, 100
	c.framer = http2.NewFramer(&c.output, &c.frameReader)
	c.framer.SetReuseFrames()
	c.framer.SetMaxReadFrameSize(minMaxFrameSize)
	c.decoder = hpack.NewDecoder(headerTableSize, c.field)
	c.decoder.SetMaxStringLength(2 * (limits.MaxHeaderListSize + minMaxFrameSize)) // over what a block may expand to: lists that are too long are dropped whole
	c.encoder = hpack.NewEncoder(&c.encodedBlock)
	c.encoder.SetMaxDynamicTableSizeLimit(headerTableSize)
	set := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: uint32(limits.InitialWindowSize)},
		{ID: http2.SettingMaxHeaderListSize, Val: uint32(limits.MaxHeaderListSize)}}
	if server {
		c.prefaceBytes = 0
		set = append(set, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(limits.MaxConcurrentStreams)})
	} else {
		c.prefaceBytes = len(clientPreface)
		c.output.WriteString(clientPreface)
		set = append(set, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	}
	c.framer.WriteSettings(set...)
	c.framer.WriteWindowUpdate(0, connectionWindowSize-defaultWindowSize)
	return c
}

// TakeOutput gives what is to be written, and forgets it. It is good until the next call of anything here.
func (c *Conn) TakeOutput() []byte {
	b := c.output.Bytes()
	c.output.Reset()
	return b
}

// OpenStreams counts the streams of both sides.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// LocalStreams counts the open streams that this side began.
func (c *Conn) LocalStreams() int { return c.localStreams }

// PeerMaxConcurrentStreams is how many streams the other side takes at once.
func (c *Conn) PeerMaxConcurrentStreams() int { return int(min(c.peer.streams, 1<<30)) }

// SettingsReceived tells whether the other side's SETTINGS have come: until then it may be no HTTP/2 at all.
func (c *Conn) SettingsReceived() bool { return c.settingsReceived }

// GoAwayReceived tells whether the other side takes no new streams.
func (c *Conn) GoAwayReceived() bool { return c.goAwayReceived }

// Feed reads what has come. An error ends the connection: what Out then gives tells the other side, and nothing more
// is to be fed.
func (c *Conn) Feed(b []byte, now float64) error {
	c.now = now
	if c.failure != nil {
		return c.failure
	}
	if c.prefaceBytes < len(clientPreface) {
		n := min(len(clientPreface)-c.prefaceBytes, len(b))
		if string(b[:n]) != clientPreface[c.prefaceBytes:c.prefaceBytes+n] {
			return c.fail(fatal(http2.ErrCodeProtocol, "no HTTP/2 preface"))
		}
		c.prefaceBytes += n
		b = b[n:]
	}
	// Frames that are whole within b are read where they lie; of one that is not, what has come is kept.
	for len(b) > 0 {
		if len(c.partialFrame) > 0 {
			n := 0
			if len(c.partialFrame) < frameHeaderBytes {
				n = min(frameHeaderBytes-len(c.partialFrame), len(b))
				c.partialFrame = append(c.partialFrame, b[:n]...)
				b = b[n:]
			}
			if len(c.partialFrame) < frameHeaderBytes {
				break
			}
			size, err := c.sizeOf(c.partialFrame)
			if err != nil {
				return c.fail(err)
			}
			n = min(frameHeaderBytes+size-len(c.partialFrame), len(b))
			c.partialFrame = append(c.partialFrame, b[:n]...)
			b = b[n:]
			if len(c.partialFrame) < frameHeaderBytes+size {
				break
			}
			whole := c.partialFrame
			c.partialFrame = nil
			if err := c.frame(whole); err != nil {
				return c.fail(err)
			}
			continue
		}
		if len(b) < frameHeaderBytes {
			c.partialFrame = append(c.partialFrame, b...)
			break
		}
		size, err := c.sizeOf(b)
		if err != nil {
			return c.fail(err)
		}
		if len(b) < frameHeaderBytes+size {
			c.partialFrame = append(c.partialFrame, b...)
			break
		}
		if err := c.frame(b[:frameHeaderBytes+size]); err != nil {
			return c.fail(err)
		}
		b = b[frameHeaderBytes+size:]
	}
	return nil
}

// Incomplete tells whether a frame, a header block or the preface has come in part.
func (c *Conn) Incomplete() bool {
	return len(c.partialFrame) > 0 || c.headerBlockOpen || c.prefaceBytes < len(clientPreface)
}

func (c *Conn) sizeOf(head []byte) (int, error) {
	size := int(head[0])<<16 | int(head[1])<<8 | int(head[2])
	if size > minMaxFrameSize {
		return 0, fatal(http2.ErrCodeFrameSize, "a frame over what was allowed")
	}
	return size, nil
}

func (c *Conn) fail(err error) error {
	c.failure = err
	code, why := http2.ErrCodeInternal, err.Error()
	if e, ok := err.(*ConnectionError); ok {
		code, why = e.Code, e.Reason
	}
	c.framer.WriteGoAway(c.lastPeerStreamID, code, []byte(why))
	return err
}

// frame reads one whole frame.
func (c *Conn) frame(b []byte) error {
	c.frameReader.Reset(b)
	f, err := c.framer.ReadFrame()
	switch e := err.(type) {
	case nil:
	case http2.StreamError:
		// Wrong for one stream only: a window update of nothing, say.
		if s := c.streams[e.StreamID]; s != nil {
			return c.fault(s, e.Code)
		} else if c.idle(e.StreamID) {
			return fatal(e.Code, "on a stream that has not begun")
		}
		return c.idleFrame()
	case http2.ConnectionError:
		return fatal(ErrorCode(e), "a frame that cannot be read")
	default:
		return fatal(http2.ErrCodeProtocol, err.Error())
	}
	if !c.settingsReceived && f.Header().Type != http2.FrameSettings {
		return fatal(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
	}
	switch f := f.(type) {
	case *http2.HeadersFrame:
		return c.headers(f)
	case *http2.ContinuationFrame:
		return c.more(f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.DataFrame:
		return c.data(f)
	case *http2.SettingsFrame:
		return c.settings(f)
	case *http2.RSTStreamFrame:
		return c.reset(f)
	case *http2.WindowUpdateFrame:
		return c.widen(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			c.framer.WritePing(true, f.Data)
		}
	case *http2.GoAwayFrame:
		return c.goAway(f)
	case *http2.PushPromiseFrame:
		return fatal(http2.ErrCodeProtocol, "a push that was not asked for")
	}
	return c.idleFrame()
}

// idleFrame counts what carries nothing: a peer may cost no work beyond what it brings.
func (c *Conn) idleFrame() error {
	c.controlFrames.Add(c.now, 1)
	if c.controlFrames.Sum(c.now, rateSpanMillis) > float64(c.limits.MaxControlFramesPerSecond)+controlFramesPerContentFrame*c.contentFrames.Sum(c.now, rateSpanMillis) {
		return fatal(http2.ErrCodeEnhanceYourCalm, "too many frames that carry nothing")
	}
	return nil
}

// idle: a stream that has not begun yet.
func (c *Conn) idle(id uint32) bool {
	if c.own(id) {
		return id >= c.nextStreamID
	}
	return id > c.lastPeerStreamID
}

func (c *Conn) own(id uint32) bool { return (id%2 == 1) != c.server }

func (c *Conn) field(f Field) {
	if c.headerListSize += len(f.Name) + len(f.Value) + 32; c.headerListSize <= c.limits.MaxHeaderListSize {
		c.headerFields = append(c.headerFields, f)
	}
}

func (c *Conn) headers(f *http2.HeadersFrame) error {
	id := f.StreamID
	if c.own(id) && c.idle(id) || !c.own(id) && !c.server {
		return fatal(http2.ErrCodeProtocol, "a header block of a stream that nobody began")
	}
	c.headerBlockStreamID, c.headerBlockEndsStream = id, f.StreamEnded()
	c.headerBlock = c.headerBlock[:0]
	return c.more(f.HeaderBlockFragment(), f.HeadersEnded())
}

// more takes a piece of a header block. Pieces without end cost memory and work, so both their bytes and, by the least
// that one may bring, their number are bounded.
func (c *Conn) more(b []byte, whole bool) error {
	if len(b) == 0 && !whole {
		if err := c.idleFrame(); err != nil {
			return err
		}
	}
	if len(c.headerBlock)+len(b) > c.limits.MaxHeaderListSize+minMaxFrameSize {
		return fatal(http2.ErrCodeEnhanceYourCalm, "a header block without end")
	}
	c.headerBlock = append(c.headerBlock, b...)
	if c.headerBlockOpen = !whole; !whole {
		return nil
	}
	c.headerFields, c.headerListSize = c.headerFields[:0], 0
	_, err := c.decoder.Write(c.headerBlock)
	if err == nil {
		err = c.decoder.Close()
	}
	if cap(c.headerBlock) > 4<<10 {
		c.headerBlock = nil
	}
	if err != nil {
		return fatal(http2.ErrCodeCompression, err.Error())
	}
	defer clear(c.headerFields[:cap(c.headerFields)])
	c.contentFrames.Add(c.now, 1)
	return c.headed(c.headerBlockStreamID, c.headerBlockEndsStream)
}

func (c *Conn) headed(id uint32, end bool) error {
	s := c.streams[id]
	if s == nil {
		if c.own(id) || !c.idle(id) {
			return nil // it was reset from here, and this was on its way
		}
		if id%2 == 0 {
			return fatal(http2.ErrCodeProtocol, "an even stream from a client")
		}
		c.lastPeerStreamID = id
		if id > c.lastAcceptedStreamID {
			return nil // it has been told that this one is not looked at
		}
		if c.peerStreams >= c.limits.MaxConcurrentStreams {
			c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
			return c.wasReset()
		}
		s = &Stream{ID: id, conn: c, sendWindow: c.peer.window, receiveWindow: int64(c.limits.InitialWindowSize)}
		c.streams[id] = s
		c.peerStreams++
	} else if s.remoteClosed {
		return c.fault(s, http2.ErrCodeStreamClosed)
	}
	s.headerBlocks++
	switch {
	case c.headerListSize > c.limits.MaxHeaderListSize:
		s.remoteClosed = s.remoteClosed || end
		c.events.HeaderListTooLarge(s)
	case !validHeaderBlock(c.headerFields, c.server, s.headerBlocks > 1 && (c.server || end)) || s.headerBlocks > 1 && c.server && !end:
		return c.fault(s, http2.ErrCodeProtocol)
	default:
		s.remoteClosed = end
		c.events.HeadersReceived(s, c.headerFields, end)
		c.tidy(s)
	}
	return nil
}

// validHeaderBlock checks what RFC 9113, 8.2 and 8.3, asks of a header block.
func validHeaderBlock(fields []Field, request, trailers bool) bool {
	plain, seen := false, 0
	for _, f := range fields {
		if f.Name == "" {
			return false
		}
		if f.Name[0] == ':' {
			bit := 0
			switch f.Name {
			case ":method":
				bit = 1
			case ":scheme":
				bit = 2
			case ":path":
				bit = 4
			case ":authority":
				bit = 8
			case ":status":
				bit = 16
			}
			if plain || trailers || bit == 0 || seen&bit != 0 || request != (bit != 16) {
				return false
			}
			seen |= bit
			continue
		}
		plain = true
		for i := range len(f.Name) {
			if ch := f.Name[i]; ch <= ' ' || ch >= 127 || ch >= 'A' && ch <= 'Z' || ch == ':' {
				return false
			}
		}
		for i := range len(f.Value) {
			if ch := f.Value[i]; ch == 0 || ch == '\r' || ch == '\n' {
				return false
			}
		}
		switch f.Name {
		case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
			return false
		case "te":
			if f.Value != "trailers" {
				return false
			}
		}
	}
	switch {
	case trailers:
		return true
	case request:
		return seen&7 == 7
	}
	return seen == 16
}

func (c *Conn) data(f *http2.DataFrame) error {
	n := int64(f.Header().Length) // padding counts
	if c.receiveWindow -= n; c.receiveWindow < 0 {
		return fatal(http2.ErrCodeFlowControl, "more than the connection's window")
	}
	// Given back at once: what a stream holds is bounded by its own window.
	if c.creditPending += n; c.creditPending >= connectionWindowSize/4 {
		c.framer.WriteWindowUpdate(0, uint32(c.creditPending))
		c.receiveWindow += c.creditPending
		c.creditPending = 0
	}
	b, end := f.Data(), f.StreamEnded()
	if len(b) > 0 {
		c.contentFrames.Add(c.now, 1)
	} else if !end {
		if err := c.idleFrame(); err != nil {
			return err
		}
	}
	s := c.streams[f.StreamID]
	switch {
	case s == nil && c.idle(f.StreamID):
		return fatal(http2.ErrCodeProtocol, "data on a stream that has not begun")
	case s == nil:
		return nil
	case s.remoteClosed || s.headerBlocks == 0:
		return c.fault(s, http2.ErrCodeStreamClosed)
	}
	if s.receiveWindow -= n; s.receiveWindow < 0 {
		return c.fault(s, http2.ErrCodeFlowControl)
	}
	s.Credit(int(n) - len(b))
	if s.remoteClosed = end; len(b) > 0 || end {
		c.events.DataReceived(s, b, end)
	}
	c.tidy(s)
	return nil
}

func (c *Conn) settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return c.idleFrame()
	}
	c.settingsReceived = true
	err := f.ForeachSetting(func(set http2.Setting) error {
		if set.Valid() != nil {
			return fatal(http2.ErrCodeProtocol, "a setting that is out of its range")
		}
		switch set.ID {
		case http2.SettingInitialWindowSize:
			more := int64(set.Val) - c.peer.window
			c.peer.window = int64(set.Val)
			for _, s := range c.streams {
				if s.sendWindow += more; s.sendWindow > maxWindowSize {
					return fatal(http2.ErrCodeFlowControl, "a window over the most")
				}
			}
			if more > 0 {
				c.stirAll()
			}
		case http2.SettingMaxFrameSize:
			c.peer.frame = min(int64(set.Val), int64(c.limits.MaxFrameSize))
		case http2.SettingMaxConcurrentStreams:
			c.peer.streams = int64(set.Val)
		case http2.SettingHeaderTableSize:
			c.encoder.SetMaxDynamicTableSize(min(set.Val, headerTableSize))
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.framer.WriteSettingsAck()
	c.events.SettingsReceived()
	return c.idleFrame()
}

func (c *Conn) reset(f *http2.RSTStreamFrame) error {
	s := c.streams[f.StreamID]
	if s == nil {
		if c.idle(f.StreamID) {
			return fatal(http2.ErrCodeProtocol, "reset of a stream that has not begun")
		}
		return c.idleFrame()
	}
	c.remove(s)
	c.events.StreamReset(s, f.ErrCode)
	if c.server {
		return c.wasReset()
	}
	return nil
}

// fault ends a stream for what its peer did wrong on it. That costs as much as a stream that the peer resets, and counts
// as one.
func (c *Conn) fault(s *Stream, code ErrorCode) error {
	c.ResetStream(s, code)
	c.events.StreamReset(s, code)
	if c.server {
		return c.wasReset()
	}
	return nil
}

// wasReset counts streams that are begun and thrown away: each costs a search's beginning and brings nothing.
func (c *Conn) wasReset() error {
	c.resets.Add(c.now, 1)
	if c.resets.Sum(c.now, rateSpanMillis) > float64(c.limits.MaxResetsPerSecond) {
		return fatal(http2.ErrCodeEnhanceYourCalm, "too many streams begun and reset")
	}
	return nil
}

func (c *Conn) widen(f *http2.WindowUpdateFrame) error {
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > maxWindowSize {
			return fatal(http2.ErrCodeFlowControl, "a window over the most")
		}
		c.stirAll()
		return c.idleFrame()
	}
	s := c.streams[f.StreamID]
	if s == nil {
		if c.idle(f.StreamID) {
			return fatal(http2.ErrCodeProtocol, "a window for a stream that has not begun")
		}
		return c.idleFrame()
	}
	if s.sendWindow += int64(f.Increment); s.sendWindow > maxWindowSize {
		return c.fault(s, http2.ErrCodeFlowControl)
	}
	s.Ready()
	return c.idleFrame()
}

// goAway: streams past the last are known not to have been looked at, the others go on.
func (c *Conn) goAway(f *http2.GoAwayFrame) error {
	c.goAwayReceived = true
	c.events.GoAwayReceived(f.ErrCode) // first: what is unprocessed here must find no place here again
	for _, id := range c.ids() {
		if s := c.streams[id]; s != nil && c.own(id) && id > f.LastStreamID {
			c.remove(s)
			c.events.StreamUnprocessed(s)
		}
	}
	return c.idleFrame()
}

// ids gives the open streams in order: what happens to them must not depend on a map.
func (c *Conn) ids() []uint32 {
	ids := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Conn) stirAll() {
	for _, id := range c.ids() {
		if s := c.streams[id]; s.source != nil {
			s.Ready()
		}
	}
}

// StartStream opens a stream of this side; only where Room says so. The header block is written at once, its body when pumped.
func (c *Conn) StartStream(fields []Field, source DataSource, of any) *Stream {
	must.Hold(c.CanStartStream(), "a stream is begun where there is room")
	s := &Stream{ID: c.nextStreamID, UserData: of, conn: c, source: source, sendWindow: c.peer.window, receiveWindow: int64(c.limits.InitialWindowSize), headersSent: true}
	c.nextStreamID += 2
	c.localStreams++
	c.streams[s.ID] = s
	c.writeHeaders(s, fields, false)
	s.Ready()
	return s
}

// CanStartStream tells whether this side may begin a stream.
func (c *Conn) CanStartStream() bool {
	return c.failure == nil && !c.goAwayReceived && int64(c.localStreams) < c.peer.streams && c.nextStreamID < maxStreamID-2
}

// Respond begins this side of a stream of the other's; source may be nil where end is set.
func (c *Conn) Respond(s *Stream, fields []Field, end bool, source DataSource) {
	if s.closed || s.localClosed {
		return
	}
	s.headersSent = true
	s.source = source
	c.writeHeaders(s, fields, end)
	if end {
		s.localClosed = true
		c.finished(s)
		return
	}
	s.Ready()
}

// HeadersSent tells whether this side's header block is out.
func (s *Stream) HeadersSent() bool { return s.headersSent }

// EndWithTrailers ends this side with trailers now, leaving out what its source still had: they need no window.
func (c *Conn) EndWithTrailers(s *Stream, trailers []Field) {
	if s.closed || s.localClosed {
		return
	}
	s.localClosed = true
	c.writeHeaders(s, trailers, true)
	c.finished(s)
}

// finished: a server that has said all need not hear the rest of the request.
func (c *Conn) finished(s *Stream) {
	if c.server && !s.remoteClosed {
		c.framer.WriteRSTStream(s.ID, http2.ErrCodeNo)
		c.remove(s)
		return
	}
	c.tidy(s)
}

// ResetStream ends a stream at once.
func (c *Conn) ResetStream(s *Stream, code ErrorCode) {
	if s.closed {
		return
	}
	if !s.remoteClosed || !s.localClosed { // else it is over by itself
		c.framer.WriteRSTStream(s.ID, code)
	}
	c.remove(s)
}

// StreamIDsRunningOut tells whether the numbers for streams of this side run out.
func (c *Conn) StreamIDsRunningOut() bool { return c.nextStreamID > maxStreamID/2 }

func (c *Conn) tidy(s *Stream) {
	if s.remoteClosed && s.localClosed {
		c.remove(s)
	}
}

func (c *Conn) remove(s *Stream) {
	if s.closed {
		return
	}
	s.closed = true
	s.source = nil
	delete(c.streams, s.ID)
	if c.own(s.ID) {
		c.localStreams--
	} else {
		c.peerStreams--
	}
}

// Ready has the stream's source asked when next pumped.
func (s *Stream) Ready() {
	if !s.queued && !s.closed && s.source != nil && !s.localClosed {
		s.queued = true
		s.conn.sendQueue = append(s.conn.sendQueue, s)
	}
}

// Credit lets the other side send so many bytes more.
func (s *Stream) Credit(n int) {
	if s.closed || s.remoteClosed || n <= 0 {
		return
	}
	if s.creditPending += int64(n); s.creditPending >= int64(s.conn.limits.InitialWindowSize)/4 {
		s.receiveWindow += s.creditPending
		s.conn.framer.WriteWindowUpdate(s.ID, uint32(s.creditPending))
		s.creditPending = 0
	}
}

// HasPendingOutput tells whether something waits to be written or pumped.
func (c *Conn) HasPendingOutput() bool { return c.output.Len() > 0 || len(c.sendQueue) > 0 }

// Pump lets streams send, in turn, until about so many bytes wait in Out.
func (c *Conn) Pump(room int) {
	for c.output.Len() < room && len(c.sendQueue) > 0 {
		s := c.sendQueue[0]
		c.sendQueue[0] = nil
		if c.sendQueue = c.sendQueue[1:]; len(c.sendQueue) == 0 {
			c.sendQueue = nil
		}
		s.queued = false
		if s.closed || s.localClosed || s.source == nil {
			continue
		}
		most := max(min(s.sendWindow, c.sendWindow, c.peer.frame, int64(room-c.output.Len())), 0)
		b, end, trailers := s.source.Next(int(most))
		must.Hold(int64(len(b)) <= most, "a source gives no more than it is asked for")
		if s.closed {
			continue
		}
		if len(b) > 0 || end && trailers == nil {
			s.sendWindow -= int64(len(b))
			c.sendWindow -= int64(len(b))
			if len(b) > 0 {
				c.contentFrames.Add(c.now, 1)
			}
			c.framer.WriteData(s.ID, end && trailers == nil, b)
		}
		if end {
			if s.localClosed = true; trailers != nil {
				c.writeHeaders(s, trailers, true)
			}
			c.finished(s)
			continue
		}
		if len(b) > 0 && s.sendWindow > 0 && c.sendWindow > 0 {
			s.Ready()
		}
	}
}

func (c *Conn) writeHeaders(s *Stream, fields []Field, end bool) {
	c.encodedBlock.Reset()
	for _, f := range fields {
		c.encoder.WriteField(f)
	}
	b := c.encodedBlock.Bytes()
	for first := true; first || len(b) > 0; first = false {
		n := min(len(b), int(c.peer.frame))
		if first {
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: b[:n], EndStream: end, EndHeaders: n == len(b)})
		} else {
			c.framer.WriteContinuation(s.ID, n == len(b), b[:n])
		}
		b = b[n:]
	}
}

// StartGracefulShutdown tells the other side to begin no more streams here, and still takes those that are on their way.
func (c *Conn) StartGracefulShutdown() {
	if c.lastAcceptedStreamID == maxStreamID {
		c.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil)
	}
}

// GoAway takes no more streams from here on; those that are open go on.
func (c *Conn) GoAway(code ErrorCode) {
	if c.lastAcceptedStreamID == maxStreamID {
		c.lastAcceptedStreamID = c.lastPeerStreamID
		c.framer.WriteGoAway(c.lastPeerStreamID, code, nil)
	}
}

// GoAwaySent tells whether Farewell was said.
func (c *Conn) GoAwaySent() bool { return c.lastAcceptedStreamID != maxStreamID }

// Ping asks for a sign of life.
func (c *Conn) Ping() { c.framer.WritePing(false, [8]byte{'k', 's'}) }

// Streams gives the open streams in order.
func (c *Conn) Streams() []*Stream {
	list := make([]*Stream, 0, len(c.streams))
	for _, id := range c.ids() {
		list = append(list, c.streams[id])
	}
	return list
}
