package h2

import (
	"bytes"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Conn is one side of a connection.
type Conn struct {
	server  bool
	limits  Limits
	handler Handler
	failure error   // the connection has ended with it
	now     float64 // time of the latest Feed, in ms

	framer           *http2.Framer
	frameReader      bytes.Reader // what framer reads from: one complete frame
	output           bytes.Buffer // what framer writes to
	partialFrame     []byte       // the beginning of a frame
	prefaceBytes     int          // bytes of the client's preface that have come
	settingsReceived bool         // the first frame of the peer, its SETTINGS, has come
	peer             peerSettings

	decoder *hpack.Decoder
	encoder *hpack.Encoder
	block   headerBlock
	encoded bytes.Buffer // the header block that is being written

	streams          map[uint32]*Stream // open
	sendQueue        []*Stream          // streams whose source is to be asked, in turn
	nextStreamID     uint32             // of the next stream that this side starts
	lastPeerStreamID uint32             // the highest that the peer has started
	localStreams     int                // open streams that this side has started
	peerStreams      int                // open streams that the peer has started

	sendWindow    int64 // bytes of data that may still be sent
	receiveWindow int64 // bytes of data that the peer may still send
	creditPending int64 // received bytes that no WINDOW_UPDATE has returned yet

	goAwayReceived       bool
	lastAcceptedStreamID uint32 // maxStreamID until GoAway

	rates rates
}

// peerSettings are those of the peer's SETTINGS that matter here.
type peerSettings struct {
	initialWindowSize    int64
	maxFrameSize         int64
	maxConcurrentStreams int64
}

// New returns one side of a connection. What TakeOutput then returns must be sent first.
func New(server bool, limits Limits, handler Handler) *Conn {
	limits.MaxFrameSize = max(limits.MaxFrameSize, minMaxFrameSize)
	c := &Conn{
		server:               server,
		limits:               limits,
		handler:              handler,
		streams:              map[uint32]*Stream{},
		nextStreamID:         1,
		sendWindow:           defaultWindowSize,
		receiveWindow:        connectionWindowSize,
		lastAcceptedStreamID: maxStreamID,
		rates:                newRates(),
		peer: peerSettings{
			initialWindowSize:    defaultWindowSize,
			maxFrameSize:         minMaxFrameSize,
			maxConcurrentStreams: assumedMaxStreams,
		},
	}
	c.framer = http2.NewFramer(&c.output, &c.frameReader)
	c.framer.SetReuseFrames()
	c.framer.SetMaxReadFrameSize(minMaxFrameSize)
	c.decoder = hpack.NewDecoder(headerTableSize, c.addField)
	// Longer than what a block may expand to, so that a list that is too large is dropped as a whole
	// and doesn't end the connection.
	c.decoder.SetMaxStringLength(2 * (limits.MaxHeaderListSize + minMaxFrameSize))
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.encoder.SetMaxDynamicTableSizeLimit(headerTableSize)
	c.writePreface()
	return c
}

// writePreface writes the connection preface of this side (RFC 9113, section 3.4).
func (c *Conn) writePreface() {
	settings := []http2.Setting{
		{ID: http2.SettingInitialWindowSize, Val: uint32(c.limits.InitialWindowSize)},
		{ID: http2.SettingMaxHeaderListSize, Val: uint32(c.limits.MaxHeaderListSize)},
	}
	if c.server {
		maxStreams := uint32(c.limits.MaxConcurrentStreams)
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: maxStreams})
	} else {
		c.prefaceBytes = len(clientPreface) // a server sends none
		c.output.WriteString(clientPreface)
		settings = append(settings, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	}
	c.framer.WriteSettings(settings...)
	c.framer.WriteWindowUpdate(0, connectionWindowSize-defaultWindowSize)
}

// TakeOutput removes and returns what is to be sent to the peer. The bytes are valid until the next
// call of any method.
func (c *Conn) TakeOutput() []byte {
	b := c.output.Bytes()
	c.output.Reset()
	return b
}

// OpenStreams returns how many streams of both sides are open.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// PeerMaxConcurrentStreams returns how many streams the peer accepts at once.
func (c *Conn) PeerMaxConcurrentStreams() int {
	return int(min(c.peer.maxConcurrentStreams, maxReportedStreams))
}

// SettingsReceived reports whether the peer's SETTINGS have come: until then it may not speak HTTP/2.
func (c *Conn) SettingsReceived() bool { return c.settingsReceived }

// Incomplete reports whether a part of a frame, of a header block or of the preface has come, and its
// rest has not.
func (c *Conn) Incomplete() bool {
	return len(c.partialFrame) > 0 || c.block.open || c.prefaceBytes < len(clientPreface)
}

// HasPendingOutput reports whether TakeOutput or Pump has something to do.
func (c *Conn) HasPendingOutput() bool { return c.output.Len() > 0 || len(c.sendQueue) > 0 }

// Ping asks the peer for a sign of life.
func (c *Conn) Ping() { c.framer.WritePing(false, [8]byte{'k', 's'}) }

// settingsFrameReceived handles SETTINGS (RFC 9113, section 6.5).
func (c *Conn) settingsFrameReceived(frame *http2.SettingsFrame) error {
	if frame.IsAck() {
		return c.countControlFrame()
	}
	c.settingsReceived = true
	if err := frame.ForeachSetting(c.applySetting); err != nil {
		return err
	}
	c.framer.WriteSettingsAck()
	c.handler.SettingsReceived()
	return c.countControlFrame()
}

func (c *Conn) applySetting(setting http2.Setting) error {
	if setting.Valid() != nil {
		return connectionError(http2.ErrCodeProtocol, "a setting that is out of its range")
	}
	switch setting.ID {
	case http2.SettingInitialWindowSize:
		return c.setPeerInitialWindow(int64(setting.Val))
	case http2.SettingMaxFrameSize:
		c.peer.maxFrameSize = min(int64(setting.Val), int64(c.limits.MaxFrameSize))
	case http2.SettingMaxConcurrentStreams:
		c.peer.maxConcurrentStreams = int64(setting.Val)
	case http2.SettingHeaderTableSize:
		c.encoder.SetMaxDynamicTableSize(min(setting.Val, headerTableSize))
	}
	return nil
}
