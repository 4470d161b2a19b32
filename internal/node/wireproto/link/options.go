// Package link connects nodes over TCP: it transports the frames of package wireproto between them.
//
// A message to a node travels on the connection that this node dialed to it; messages from other nodes
// arrive on the connections that they dialed. Invariants: a message is delivered at most once (it is lost
// where its receiver can't be reached, doesn't read, or restarts while the message is in flight);
// messages from one node to another keep their order; Send never blocks, and what waits is bounded.
//
// It doesn't retry, authenticate or interpret messages: the state machines above repeat what must
// arrive.
package link

import (
	"errors"
	"log/slog"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/defaults"
	"kestrelspread/internal/node/netmap"
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
	// SelfID is the node id of this incarnation of the process.
	SelfID string
	// SelfAddress is where replies go; if empty, the listener's own address.
	SelfAddress string
	// Receive handles each message that arrives. It is called from several goroutines; while it blocks,
	// the connection of the message is not read.
	Receive func(from core.Peer, envelope *nodepb.Envelope)
	// NetworkMap rewrites the addresses that are dialed; the zero value rewrites none.
	NetworkMap netmap.Map
	// Log defaults to no logging.
	Log *slog.Logger

	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// SendTimeout is how long a peer may read nothing, or leave sent bytes unacknowledged
	// (TCP_USER_TIMEOUT), before its connection is closed.
	SendTimeout time.Duration
	// IdleTimeout is how long a dialed connection is kept without use.
	IdleTimeout time.Duration
	// AcceptedIdleTimeout is how long an accepted connection may receive nothing. It has to be longer than
	// IdleTimeout.
	AcceptedIdleTimeout time.Duration
	// KeepAliveIdle is how long a connection is idle before the kernel probes its other end. SendTimeout
	// covers connections in use; the probes only find dead idle ones, and cost bytes on each.
	KeepAliveIdle time.Duration
	// MinBackoff, doubled after each failure up to MaxBackoff, is how long messages to a peer are dropped
	// after it could not be reached.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxQueueBytes bounds the bytes queued for one peer. A single message may be larger while the queue
	// is empty.
	MaxQueueBytes int
	// MaxTotalBytes bounds the bytes queued for all peers together.
	MaxTotalBytes int
	// MaxAccepted bounds the accepted connections.
	MaxAccepted int
}

// ErrCannotListen is the error of New where the listener can't be opened.
var ErrCannotListen = errors.New("link: cannot_listen")

// withDefaults replaces values that aren't set.
func (o Options) withDefaults() Options {
	defaults.Duration(&o.DialTimeout, DefaultDialTimeout)
	defaults.Duration(&o.SendTimeout, DefaultSendTimeout)
	defaults.Duration(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Duration(&o.AcceptedIdleTimeout, DefaultAcceptedIdleTimeout)
	defaults.Duration(&o.KeepAliveIdle, DefaultKeepAliveIdle)
	defaults.Duration(&o.MinBackoff, DefaultMinBackoff)
	defaults.Duration(&o.MaxBackoff, DefaultMaxBackoff)
	defaults.Int(&o.MaxQueueBytes, DefaultMaxQueueBytes)
	defaults.Int(&o.MaxTotalBytes, DefaultMaxTotalBytes)
	defaults.Int(&o.MaxAccepted, DefaultMaxAccepted)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
