// Package link connects nodes over TCP: it carries the frames of package wireproto between them.
//
// A message to a node travels on the connection that this node dialed to it; what other nodes send arrives on the
// connections that they dialed. A message is delivered at most once: it is lost where its receiver can't be reached,
// does not read, or is replaced while the message is under way. Messages of one node to another keep their order.
package link

import (
	"log/slog"
	"time"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Defaults of Options.
const (
	DefaultDialTimeout         = time.Second
	DefaultSendTimeout         = 2 * time.Second
	DefaultIdleTimeout         = 60 * time.Second
	DefaultAcceptedIdleTimeout = 90 * time.Second
	DefaultKeepAliveIdle       = 10 * time.Second
	DefaultMinBackoff          = 50 * time.Millisecond
	DefaultMaxBackoff          = time.Second
	DefaultMaxQueueBytes       = 4 << 20
	DefaultMaxTotalBytes       = 32 << 20
	DefaultMaxAccepted         = 1024
)

// Options of a Network. Zero values stand for the defaults.
type Options struct {
	// ListenAddress is the "IP:port" on which connections of other nodes are accepted.
	ListenAddress string
	// SelfID is the node id of this life of the process.
	SelfID string
	// SelfAddress is where answers go; where empty, the address that the listener was given.
	SelfAddress string
	// Receive takes what arrives. It is called from several goroutines; while it blocks, the connection of the
	// message is not read further.
	Receive func(from core.Peer, envelope *nodepb.Envelope)
	Log     *slog.Logger

	// DialTimeout bounds the time a connection takes to come up.
	DialTimeout time.Duration
	// SendTimeout is how long a peer may take in nothing, or leave sent bytes without acknowledgement
	// (TCP_USER_TIMEOUT), before its connection is closed.
	SendTimeout time.Duration
	// IdleTimeout is how long a dialed connection is kept without use.
	IdleTimeout time.Duration
	// AcceptedIdleTimeout is how long an accepted connection may be silent. It has to be longer than IdleClose.
	AcceptedIdleTimeout time.Duration
	// KeepAliveIdle is how long a connection rests until the kernel asks whether its other end is there. What is sent
	// is watched by SendTimeout; these probes only find the connections that nobody uses, and cost bytes on each.
	KeepAliveIdle time.Duration
	// MinBackoff, doubled up to MaxBackoff, is how long messages to a peer are dropped after it could not be
	// reached.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxQueueBytes bounds what waits to be sent to one peer. A single message may be larger, where nothing waits.
	MaxQueueBytes int
	// MaxTotalBytes bounds what waits to be sent to all peers together.
	MaxTotalBytes int
	// MaxAccepted bounds the accepted connections.
	MaxAccepted int
}

var namespace = errorx.NewNamespace("link")

// CannotListen is the error of New where the listening address can't be had.
var CannotListen = namespace.NewType("cannot_listen")

func (o Options) withDefaults() Options {
	setDuration(&o.DialTimeout, DefaultDialTimeout)
	setDuration(&o.SendTimeout, DefaultSendTimeout)
	setDuration(&o.IdleTimeout, DefaultIdleTimeout)
	setDuration(&o.AcceptedIdleTimeout, DefaultAcceptedIdleTimeout)
	setDuration(&o.KeepAliveIdle, DefaultKeepAliveIdle)
	setDuration(&o.MinBackoff, DefaultMinBackoff)
	setDuration(&o.MaxBackoff, DefaultMaxBackoff)
	setInt(&o.MaxQueueBytes, DefaultMaxQueueBytes)
	setInt(&o.MaxTotalBytes, DefaultMaxTotalBytes)
	setInt(&o.MaxAccepted, DefaultMaxAccepted)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
