package grpcproxy

import (
	"net/netip"

	"kestrelspread/internal/connpool"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/routes"
)

// Limits bound what clients and servers may have this proxy do. Times are in ms.
type Limits struct {
	MaxConnections                int // of clients
	MaxCallsPerConnection         int // open at once
	MaxCalls                      int // open at once, of all clients
	MaxCallsPerCustomer           int // open at once; 0: no limit
	MaxBufferedBytes              int // of all calls
	MaxBufferedBytesPerConnection int // of the calls of a client connection
	StreamWindowBytes             int // of a stream that the peer may send uncredited
	MaxMetadataBytes              int // of a header list
	MaxResetsPerSecond            int // calls that a connection starts and resets
	MaxControlFramesPerSecond     int
	HandshakeTimeout              float64
	IdleTimeout                   float64 // without a call
	PartialFrameTimeout           float64 // from a part of a frame or header block to its rest
	WriteTimeout                  float64 // without the network taking any of the bytes that wait
	WriteBufferBytes              int     // that may wait for the network before streams are asked for more
}

// Addresses say where a listed server serves gRPC: the address by its id, else the listed one with
// PortOffset added to its port. With a PortOffset of 0 only those by id serve it.
type Addresses struct {
	PortOffset int
	ByID       map[string]netip.AddrPort
}

const maxPort = 1<<16 - 1

// AddressOf returns a server's gRPC address, if it has one.
func (a *Addresses) AddressOf(id string, listed netip.AddrPort) (netip.AddrPort, bool) {
	if address, ok := a.ByID[id]; ok {
		return address, true
	}
	port := int(listed.Port()) + a.PortOffset
	if a.PortOffset == 0 || !listed.IsValid() || port <= 0 || port > maxPort {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(listed.Addr(), uint16(port)), true
}

// Settings are set by an operator. They don't change once they are in use.
type Settings struct {
	Routes    *routes.Table
	Limits    Limits
	ConnPool  connpool.Settings
	Addresses Addresses
}

// unlimitedResets: a server resets streams as it likes.
const unlimitedResets = 1 << 30

// serverLimits are the limits of connections to servers.
func (s *Settings) serverLimits() h2.Limits {
	return h2.Limits{
		InitialWindowSize:         s.Limits.StreamWindowBytes,
		MaxHeaderListSize:         s.Limits.MaxMetadataBytes,
		MaxResetsPerSecond:        unlimitedResets,
		MaxControlFramesPerSecond: s.Limits.MaxControlFramesPerSecond,
	}
}

// clientLimits are the limits of connections of clients.
func (s *Settings) clientLimits() h2.Limits {
	return h2.Limits{
		MaxConcurrentStreams:      s.Limits.MaxCallsPerConnection,
		InitialWindowSize:         s.Limits.StreamWindowBytes,
		MaxHeaderListSize:         s.Limits.MaxMetadataBytes,
		MaxResetsPerSecond:        s.Limits.MaxResetsPerSecond,
		MaxControlFramesPerSecond: s.Limits.MaxControlFramesPerSecond,
	}
}

// Values that the operators' page states and that no operator sets. Times are in ms.
const (
	// deadlineMargin is kept back from the timeout that a server is told: the way back takes time.
	deadlineMargin = 5.
	// finalStatusMargin before its deadline a call gets its status, whatever it waits for.
	finalStatusMargin = 15.
	// nearDeadline: a call that fails so near its deadline gets DEADLINE_EXCEEDED.
	nearDeadline = 30.
	// softLimitRatio of MaxBufferedBytes is the soft limit: above it no client is credited and no
	// call accepted.
	softLimitRatio = 0.75
	// metadataDivisor: while the metadata of open calls takes up one part in metadataDivisor of MaxBufferedBytes, beside it, no further
	// call is accepted.
	metadataDivisor = 4
	// maxUnsentBytes that the network hasn't taken end a connection. Its streams stay far below; who
	// gets there sends frames that must be answered, and reads nothing.
	maxUnsentBytes = 1 << 20
	// minTimerDelay between two checks of a client connection's timeouts.
	minTimerDelay = 50.
	// Calls over a limit are told to retry after minPushback, and up to pushbackSpread more.
	minPushback    = 50.
	pushbackSpread = 200.
	// stalledConnGrace: a connection that holds the unsent headers of a call whose client is gone is
	// closed, if the network takes nothing for so long.
	stalledConnGrace = 200.
)
