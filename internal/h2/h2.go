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

// Code is an HTTP/2 error code.
type Code = http2.ErrCode

// Limits bound what a peer may have this side do. All are needed but for those whose absence is named.
type Limits struct {
	Streams  int // open at once that the other side began
	Window   int // bytes of a stream not yet credited, at most 2^31-1
	Headers  int // bytes of a header list, as SETTINGS_MAX_HEADER_LIST_SIZE counts them
	Frame    int // bytes of a frame's payload that is sent, at least 16384 (0: that)
	Resets   int // streams that the peer began and reset, in a second
	Controls int // frames that carry nothing (SETTINGS, PING, PRIORITY, empty DATA, WINDOW_UPDATE), in a second, beyond four for each that does
}

const (
	frameLeast    = 16 << 10 // the protocol's least; what is received is never longer here
	headBytes     = 9
	preface       = http2.ClientPreface
	windowDefault = 65535
	windowMost    = 1<<31 - 1
	connWindow    = 1 << 20
	tableSize     = 4096
	span          = 1000. // over which rates are counted
	perWork       = 4     // frames without content for each with some
	lastStream    = 1<<31 - 1
)

// Events are what a connection tells. Streams, fields and bytes are good within the call; a Stream until its end.
type Events interface {
	// Headers is a header block: the first of a stream, or its trailers. end: nothing follows from the other side.
	Headers(s *Stream, fields []Field, end bool)
	// Huge is a header block over Limits.Headers, whose fields are not kept.
	Huge(s *Stream)
	// Data is part of a body; over how much more may come Credit decides.
	Data(s *Stream, b []byte, end bool)
	// Reset ends a stream at once: by the other side's code, or for what was wrong with it.
	Reset(s *Stream, code Code)
	// Unprocessed is a stream that the other side says it has not looked at and never will.
	Unprocessed(s *Stream)
	// Leaving: the other side takes no new streams on this connection.
	Leaving(code Code)
	// Settings of the other side have come: how many streams it takes may have changed.
	Settings()
}

// Source gives what a stream sends. Next is asked for at most so many bytes, which it must not change later; end: they
// are the last, with trailers after them where there are any. Nothing and no end: there is nothing to send now; Ready tells
// when there is. It may be asked for 0 bytes, to learn whether it ends.
type Source interface {
	Next(most int) (b []byte, end bool, trailers []Field)
}

// Err ends a connection.
type Err struct {
	Code Code
	Why  string
}

// Error names the code and what was wrong.
func (e *Err) Error() string { return fmt.Sprintf("%v: %s", e.Code, e.Why) }

func fatal(code Code, why string) error { return &Err{code, why} }

// Stream is one request and its response.
type Stream struct {
	ID     uint32
	Of     any // the caller's
	c      *Conn
	source Source
	window int64 // what may still be sent
	left   int64 // what may still be received
	owed   int64 // credited, not yet told
	heads  int   // header blocks that came
	began  bool  // this side's header block is out
	endIn  bool
	endOut bool
	queued bool
	gone   bool
}

// Heads tells how many header blocks have come.
func (s *Stream) Heads() int { return s.heads }

// Over tells whether the stream has ended on both sides, or at once.
func (s *Stream) Over() bool { return s.gone }

// EndedIn tells whether the other side has ended.
func (s *Stream) EndedIn() bool { return s.endIn }

// Conn is one side of a connection.
type Conn struct {
	server    bool
	limits    Limits
	events    Events
	fr        *http2.Framer
	rd        bytes.Reader
	out       bytes.Buffer
	in        []byte // half a frame
	greeted   int    // bytes of the preface that have come
	settled   bool   // the other side's SETTINGS have come
	dec       *hpack.Decoder
	enc       *hpack.Encoder
	encoded   bytes.Buffer
	fields    []Field
	size      int
	block     []byte // a header block that has come in part
	blockOf   uint32
	blockEnd  bool
	blockOpen bool
	streams   map[uint32]*Stream
	queue     []*Stream // have something to send, in turn
	next      uint32    // the next that this side begins
	last      uint32    // the highest that the other side began
	mine      int       // open that this side began
	theirs    int
	window    int64
	left      int64
	owed      int64
	peer      struct{ window, frame, streams int64 }
	leaving   bool   // the other side has said so
	farewell  uint32 // the last stream that this side still takes, once it has said so
	failed    error
	now       float64
	noise     *window.Counts
	work      *window.Counts
	resets    *window.Counts
}

// New begins a connection; what Out gives then is to be sent first.
func New(server bool, limits Limits, events Events) *Conn {
	limits.Frame = max(limits.Frame, frameLeast)
	c := &Conn{server: server, limits: limits, events: events, streams: map[uint32]*Stream{}, next: 1, window: windowDefault,
		left: connWindow, farewell: lastStream, noise: window.NewCounts(10, span/10), work: window.NewCounts(10, span/10),
		resets: window.NewCounts(10, span/10)}
	c.peer.window, c.peer.frame, c.peer.streams = windowDefault, frameLeast, 100
	c.fr = http2.NewFramer(&c.out, &c.rd)
	c.fr.SetReuseFrames()
	c.fr.SetMaxReadFrameSize(frameLeast)
	c.dec = hpack.NewDecoder(tableSize, c.field)
	c.dec.SetMaxStringLength(2 * (limits.Headers + frameLeast)) // over what a block may expand to: lists that are too long are dropped whole
	c.enc = hpack.NewEncoder(&c.encoded)
	c.enc.SetMaxDynamicTableSizeLimit(tableSize)
	set := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: uint32(limits.Window)},
		{ID: http2.SettingMaxHeaderListSize, Val: uint32(limits.Headers)}}
	if server {
		c.greeted = 0
		set = append(set, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(limits.Streams)})
	} else {
		c.greeted = len(preface)
		c.out.WriteString(preface)
		set = append(set, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	}
	c.fr.WriteSettings(set...)
	c.fr.WriteWindowUpdate(0, connWindow-windowDefault)
	return c
}

// Out gives what is to be written, and forgets it. It is good until the next call of anything here.
func (c *Conn) Out() []byte {
	b := c.out.Bytes()
	c.out.Reset()
	return b
}

// Open counts the streams of both sides.
func (c *Conn) Open() int { return len(c.streams) }

// Mine counts the open streams that this side began.
func (c *Conn) Mine() int { return c.mine }

// Most is how many streams the other side takes at once.
func (c *Conn) Most() int { return int(min(c.peer.streams, 1<<30)) }

// Settled tells whether the other side's SETTINGS have come: until then it may be no HTTP/2 at all.
func (c *Conn) Settled() bool { return c.settled }

// Leaving tells whether the other side takes no new streams.
func (c *Conn) Leaving() bool { return c.leaving }

// Feed reads what has come. An error ends the connection: what Out then gives tells the other side, and nothing more
// is to be fed.
func (c *Conn) Feed(b []byte, now float64) error {
	c.now = now
	if c.failed != nil {
		return c.failed
	}
	if c.greeted < len(preface) {
		n := min(len(preface)-c.greeted, len(b))
		if string(b[:n]) != preface[c.greeted:c.greeted+n] {
			return c.fail(fatal(http2.ErrCodeProtocol, "no HTTP/2 preface"))
		}
		c.greeted += n
		b = b[n:]
	}
	// Frames that are whole within b are read where they lie; of one that is not, what has come is kept.
	for len(b) > 0 {
		if len(c.in) > 0 {
			n := 0
			if len(c.in) < headBytes {
				n = min(headBytes-len(c.in), len(b))
				c.in = append(c.in, b[:n]...)
				b = b[n:]
			}
			if len(c.in) < headBytes {
				break
			}
			size, err := c.sizeOf(c.in)
			if err != nil {
				return c.fail(err)
			}
			n = min(headBytes+size-len(c.in), len(b))
			c.in = append(c.in, b[:n]...)
			b = b[n:]
			if len(c.in) < headBytes+size {
				break
			}
			whole := c.in
			c.in = nil
			if err := c.frame(whole); err != nil {
				return c.fail(err)
			}
			continue
		}
		if len(b) < headBytes {
			c.in = append(c.in, b...)
			break
		}
		size, err := c.sizeOf(b)
		if err != nil {
			return c.fail(err)
		}
		if len(b) < headBytes+size {
			c.in = append(c.in, b...)
			break
		}
		if err := c.frame(b[:headBytes+size]); err != nil {
			return c.fail(err)
		}
		b = b[headBytes+size:]
	}
	return nil
}

// Half tells whether a frame, a header block or the preface has come in part.
func (c *Conn) Half() bool { return len(c.in) > 0 || c.blockOpen || c.greeted < len(preface) }

func (c *Conn) sizeOf(head []byte) (int, error) {
	size := int(head[0])<<16 | int(head[1])<<8 | int(head[2])
	if size > frameLeast {
		return 0, fatal(http2.ErrCodeFrameSize, "a frame over what was allowed")
	}
	return size, nil
}

func (c *Conn) fail(err error) error {
	c.failed = err
	code, why := http2.ErrCodeInternal, err.Error()
	if e, ok := err.(*Err); ok {
		code, why = e.Code, e.Why
	}
	c.fr.WriteGoAway(c.last, code, []byte(why))
	return err
}

// frame reads one whole frame.
func (c *Conn) frame(b []byte) error {
	c.rd.Reset(b)
	f, err := c.fr.ReadFrame()
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
		return fatal(Code(e), "a frame that cannot be read")
	default:
		return fatal(http2.ErrCodeProtocol, err.Error())
	}
	if !c.settled && f.Header().Type != http2.FrameSettings {
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
			c.fr.WritePing(true, f.Data)
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
	c.noise.Add(c.now, 1)
	if c.noise.Sum(c.now, span) > float64(c.limits.Controls)+perWork*c.work.Sum(c.now, span) {
		return fatal(http2.ErrCodeEnhanceYourCalm, "too many frames that carry nothing")
	}
	return nil
}

// idle: a stream that has not begun yet.
func (c *Conn) idle(id uint32) bool {
	if c.own(id) {
		return id >= c.next
	}
	return id > c.last
}

func (c *Conn) own(id uint32) bool { return (id%2 == 1) != c.server }

func (c *Conn) field(f Field) {
	if c.size += len(f.Name) + len(f.Value) + 32; c.size <= c.limits.Headers {
		c.fields = append(c.fields, f)
	}
}

func (c *Conn) headers(f *http2.HeadersFrame) error {
	id := f.StreamID
	if c.own(id) && c.idle(id) || !c.own(id) && !c.server {
		return fatal(http2.ErrCodeProtocol, "a header block of a stream that nobody began")
	}
	c.blockOf, c.blockEnd = id, f.StreamEnded()
	c.block = c.block[:0]
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
	if len(c.block)+len(b) > c.limits.Headers+frameLeast {
		return fatal(http2.ErrCodeEnhanceYourCalm, "a header block without end")
	}
	c.block = append(c.block, b...)
	if c.blockOpen = !whole; !whole {
		return nil
	}
	c.fields, c.size = c.fields[:0], 0
	_, err := c.dec.Write(c.block)
	if err == nil {
		err = c.dec.Close()
	}
	if cap(c.block) > 4<<10 {
		c.block = nil
	}
	if err != nil {
		return fatal(http2.ErrCodeCompression, err.Error())
	}
	defer clear(c.fields[:cap(c.fields)])
	c.work.Add(c.now, 1)
	return c.headed(c.blockOf, c.blockEnd)
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
		c.last = id
		if id > c.farewell {
			return nil // it has been told that this one is not looked at
		}
		if c.theirs >= c.limits.Streams {
			c.fr.WriteRSTStream(id, http2.ErrCodeRefusedStream)
			return c.wasReset()
		}
		s = &Stream{ID: id, c: c, window: c.peer.window, left: int64(c.limits.Window)}
		c.streams[id] = s
		c.theirs++
	} else if s.endIn {
		return c.fault(s, http2.ErrCodeStreamClosed)
	}
	s.heads++
	switch {
	case c.size > c.limits.Headers:
		s.endIn = s.endIn || end
		c.events.Huge(s)
	case !sound(c.fields, c.server, s.heads > 1 && (c.server || end)) || s.heads > 1 && c.server && !end:
		return c.fault(s, http2.ErrCodeProtocol)
	default:
		s.endIn = end
		c.events.Headers(s, c.fields, end)
		c.tidy(s)
	}
	return nil
}

// sound checks what RFC 9113, 8.2 and 8.3, asks of a header block.
func sound(fields []Field, request, trailers bool) bool {
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
	if c.left -= n; c.left < 0 {
		return fatal(http2.ErrCodeFlowControl, "more than the connection's window")
	}
	// Given back at once: what a stream holds is bounded by its own window.
	if c.owed += n; c.owed >= connWindow/4 {
		c.fr.WriteWindowUpdate(0, uint32(c.owed))
		c.left += c.owed
		c.owed = 0
	}
	b, end := f.Data(), f.StreamEnded()
	if len(b) > 0 {
		c.work.Add(c.now, 1)
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
	case s.endIn || s.heads == 0:
		return c.fault(s, http2.ErrCodeStreamClosed)
	}
	if s.left -= n; s.left < 0 {
		return c.fault(s, http2.ErrCodeFlowControl)
	}
	s.Credit(int(n) - len(b))
	if s.endIn = end; len(b) > 0 || end {
		c.events.Data(s, b, end)
	}
	c.tidy(s)
	return nil
}

func (c *Conn) settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return c.idleFrame()
	}
	c.settled = true
	err := f.ForeachSetting(func(set http2.Setting) error {
		if set.Valid() != nil {
			return fatal(http2.ErrCodeProtocol, "a setting that is out of its range")
		}
		switch set.ID {
		case http2.SettingInitialWindowSize:
			more := int64(set.Val) - c.peer.window
			c.peer.window = int64(set.Val)
			for _, s := range c.streams {
				if s.window += more; s.window > windowMost {
					return fatal(http2.ErrCodeFlowControl, "a window over the most")
				}
			}
			if more > 0 {
				c.stirAll()
			}
		case http2.SettingMaxFrameSize:
			c.peer.frame = min(int64(set.Val), int64(c.limits.Frame))
		case http2.SettingMaxConcurrentStreams:
			c.peer.streams = int64(set.Val)
		case http2.SettingHeaderTableSize:
			c.enc.SetMaxDynamicTableSize(min(set.Val, tableSize))
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.fr.WriteSettingsAck()
	c.events.Settings()
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
	c.events.Reset(s, f.ErrCode)
	if c.server {
		return c.wasReset()
	}
	return nil
}

// fault ends a stream for what its peer did wrong on it. That costs as much as a stream that the peer resets, and counts
// as one.
func (c *Conn) fault(s *Stream, code Code) error {
	c.Reset(s, code)
	c.events.Reset(s, code)
	if c.server {
		return c.wasReset()
	}
	return nil
}

// wasReset counts streams that are begun and thrown away: each costs a search's beginning and brings nothing.
func (c *Conn) wasReset() error {
	c.resets.Add(c.now, 1)
	if c.resets.Sum(c.now, span) > float64(c.limits.Resets) {
		return fatal(http2.ErrCodeEnhanceYourCalm, "too many streams begun and reset")
	}
	return nil
}

func (c *Conn) widen(f *http2.WindowUpdateFrame) error {
	if f.StreamID == 0 {
		if c.window += int64(f.Increment); c.window > windowMost {
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
	if s.window += int64(f.Increment); s.window > windowMost {
		return c.fault(s, http2.ErrCodeFlowControl)
	}
	s.Ready()
	return c.idleFrame()
}

// goAway: streams past the last are known not to have been looked at, the others go on.
func (c *Conn) goAway(f *http2.GoAwayFrame) error {
	c.leaving = true
	c.events.Leaving(f.ErrCode) // first: what is unprocessed here must find no place here again
	for _, id := range c.ids() {
		if s := c.streams[id]; s != nil && c.own(id) && id > f.LastStreamID {
			c.remove(s)
			c.events.Unprocessed(s)
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

// Begin opens a stream of this side; only where Room says so. The header block is written at once, its body when pumped.
func (c *Conn) Begin(fields []Field, source Source, of any) *Stream {
	must.Hold(c.Room(), "a stream is begun where there is room")
	s := &Stream{ID: c.next, Of: of, c: c, source: source, window: c.peer.window, left: int64(c.limits.Window), began: true}
	c.next += 2
	c.mine++
	c.streams[s.ID] = s
	c.writeHeaders(s, fields, false)
	s.Ready()
	return s
}

// Room tells whether this side may begin a stream.
func (c *Conn) Room() bool {
	return c.failed == nil && !c.leaving && int64(c.mine) < c.peer.streams && c.next < lastStream-2
}

// Respond begins this side of a stream of the other's; source may be nil where end is set.
func (c *Conn) Respond(s *Stream, fields []Field, end bool, source Source) {
	if s.gone || s.endOut {
		return
	}
	s.began = true
	s.source = source
	c.writeHeaders(s, fields, end)
	if end {
		s.endOut = true
		c.finished(s)
		return
	}
	s.Ready()
}

// Began tells whether this side's header block is out.
func (s *Stream) Began() bool { return s.began }

// Cut ends this side with trailers now, leaving out what its source still had: they need no window.
func (c *Conn) Cut(s *Stream, trailers []Field) {
	if s.gone || s.endOut {
		return
	}
	s.endOut = true
	c.writeHeaders(s, trailers, true)
	c.finished(s)
}

// finished: a server that has said all need not hear the rest of the request.
func (c *Conn) finished(s *Stream) {
	if c.server && !s.endIn {
		c.fr.WriteRSTStream(s.ID, http2.ErrCodeNo)
		c.remove(s)
		return
	}
	c.tidy(s)
}

// Reset ends a stream at once.
func (c *Conn) Reset(s *Stream, code Code) {
	if s.gone {
		return
	}
	if !s.endIn || !s.endOut { // else it is over by itself
		c.fr.WriteRSTStream(s.ID, code)
	}
	c.remove(s)
}

// Worn tells whether the numbers for streams of this side run out.
func (c *Conn) Worn() bool { return c.next > lastStream/2 }

func (c *Conn) tidy(s *Stream) {
	if s.endIn && s.endOut {
		c.remove(s)
	}
}

func (c *Conn) remove(s *Stream) {
	if s.gone {
		return
	}
	s.gone = true
	s.source = nil
	delete(c.streams, s.ID)
	if c.own(s.ID) {
		c.mine--
	} else {
		c.theirs--
	}
}

// Ready has the stream's source asked when next pumped.
func (s *Stream) Ready() {
	if !s.queued && !s.gone && s.source != nil && !s.endOut {
		s.queued = true
		s.c.queue = append(s.c.queue, s)
	}
}

// Credit lets the other side send so many bytes more.
func (s *Stream) Credit(n int) {
	if s.gone || s.endIn || n <= 0 {
		return
	}
	if s.owed += int64(n); s.owed >= int64(s.c.limits.Window)/4 {
		s.left += s.owed
		s.c.fr.WriteWindowUpdate(s.ID, uint32(s.owed))
		s.owed = 0
	}
}

// Pending tells whether something waits to be written or pumped.
func (c *Conn) Pending() bool { return c.out.Len() > 0 || len(c.queue) > 0 }

// Pump lets streams send, in turn, until about so many bytes wait in Out.
func (c *Conn) Pump(room int) {
	for c.out.Len() < room && len(c.queue) > 0 {
		s := c.queue[0]
		c.queue[0] = nil
		if c.queue = c.queue[1:]; len(c.queue) == 0 {
			c.queue = nil
		}
		s.queued = false
		if s.gone || s.endOut || s.source == nil {
			continue
		}
		most := max(min(s.window, c.window, c.peer.frame, int64(room-c.out.Len())), 0)
		b, end, trailers := s.source.Next(int(most))
		must.Hold(int64(len(b)) <= most, "a source gives no more than it is asked for")
		if s.gone {
			continue
		}
		if len(b) > 0 || end && trailers == nil {
			s.window -= int64(len(b))
			c.window -= int64(len(b))
			if len(b) > 0 {
				c.work.Add(c.now, 1)
			}
			c.fr.WriteData(s.ID, end && trailers == nil, b)
		}
		if end {
			if s.endOut = true; trailers != nil {
				c.writeHeaders(s, trailers, true)
			}
			c.finished(s)
			continue
		}
		if len(b) > 0 && s.window > 0 && c.window > 0 {
			s.Ready()
		}
	}
}

func (c *Conn) writeHeaders(s *Stream, fields []Field, end bool) {
	c.encoded.Reset()
	for _, f := range fields {
		c.enc.WriteField(f)
	}
	b := c.encoded.Bytes()
	for first := true; first || len(b) > 0; first = false {
		n := min(len(b), int(c.peer.frame))
		if first {
			c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: b[:n], EndStream: end, EndHeaders: n == len(b)})
		} else {
			c.fr.WriteContinuation(s.ID, n == len(b), b[:n])
		}
		b = b[n:]
	}
}

// Warn tells the other side to begin no more streams here, and still takes those that are on their way.
func (c *Conn) Warn() {
	if c.farewell == lastStream {
		c.fr.WriteGoAway(lastStream, http2.ErrCodeNo, nil)
	}
}

// Farewell takes no more streams from here on; those that are open go on.
func (c *Conn) Farewell(code Code) {
	if c.farewell == lastStream {
		c.farewell = c.last
		c.fr.WriteGoAway(c.last, code, nil)
	}
}

// Gone tells whether Farewell was said.
func (c *Conn) Gone() bool { return c.farewell != lastStream }

// Ping asks for a sign of life.
func (c *Conn) Ping() { c.fr.WritePing(false, [8]byte{'k', 's'}) }

// All gives the open streams in order.
func (c *Conn) All() []*Stream {
	list := make([]*Stream, 0, len(c.streams))
	for _, id := range c.ids() {
		list = append(list, c.streams[id])
	}
	return list
}
