package grpcproxy

import (
	"net/netip"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/connpool"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/routes"
)

// Limits bound what clients and servers may have this broker hold. Bytes, and milliseconds.
type Limits struct {
	MaxConnections                int // of clients
	MaxCallsPerConnection         int // calls open on one of them
	MaxCalls                      int // open in all
	MaxCallsPerCustomer           int // open for one customer; 0: no limit of its own
	MaxBufferedBytes              int // bytes of calls held here, of all together
	MaxBufferedBytesPerConnection int // and of one connection's calls
	StreamWindowBytes             int // of one stream that may wait here
	MaxMetadataBytes              int // of a header list
	MaxResetsPerSecond            int // calls that a connection begins and resets, in a second
	MaxControlFramesPerSecond     int // frames without content, in a second
	HandshakeTimeout              float64
	IdleTimeout                   float64 // without a call
	PartialFrameTimeout           float64 // that half a frame or header block may wait for its rest
	WriteTimeout                  float64 // that a peer may not read what waits for it
	WriteBufferBytes              int     // written bytes that may wait for a peer before its streams are asked for more
}

// Addresses tells where a listed server speaks gRPC: by its id, else at its listed address with the port moved by
// Offset; an Offset of 0 says that only those by id do.
type Addresses struct {
	PortOffset int
	ByID       map[string]netip.AddrPort
}

// Of gives a server's gRPC address, if it has one.
func (a *Addresses) AddressOf(id string, listed netip.AddrPort) (netip.AddrPort, bool) {
	if at, ok := a.ByID[id]; ok {
		return at, true
	}
	port := int(listed.Port()) + a.PortOffset
	if a.PortOffset == 0 || !listed.IsValid() || port <= 0 || port > 65535 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(listed.Addr(), uint16(port)), true
}

// Settings are an operator's settings; they do not change once they are in use.
type Settings struct {
	Routes    *routes.Table
	Limits    Limits
	ConnPool  connpool.Settings
	Addresses Addresses
}

// serverLimits are the limits on what servers send.
func (r *Settings) serverLimits() h2.Limits {
	return h2.Limits{InitialWindowSize: r.Limits.StreamWindowBytes, MaxHeaderListSize: r.Limits.MaxMetadataBytes, MaxResetsPerSecond: 1 << 30, MaxControlFramesPerSecond: r.Limits.MaxControlFramesPerSecond}
}

func (r *Settings) clientLimits() h2.Limits {
	return h2.Limits{MaxConcurrentStreams: r.Limits.MaxCallsPerConnection, InitialWindowSize: r.Limits.StreamWindowBytes, MaxHeaderListSize: r.Limits.MaxMetadataBytes,
		MaxResetsPerSecond: r.Limits.MaxResetsPerSecond, MaxControlFramesPerSecond: r.Limits.MaxControlFramesPerSecond}
}

// What the operators' page states, and no operator sets.
const (
	deadlineMargin    = 5.  // of a sub-request's time that its server is not told of: the way back takes some
	finalStatusMargin = 15. // before a client gives up, a call has its status, whatever stands in the way
	nearDeadline      = 30. // so near its end a call is not shed or errored: its time is up
	softLimitRatio    = 0.75
	maxUnsentBytes    = 1 << 20 // of frames that answer a peer's frames; who sends those and reads nothing is cut off
	minTimerDelay     = 50.     // an idle connection is looked at no more often than that
	minPushback       = 50.     // a call over a limit may come again so much later
	pushbackSpread    = 200.
)

// Counters since the start.
type Counters struct {
	Accepted, ConnectionsRejected, IdleClosed, Unresponsive, ProtocolErrors, WriteTimeouts                       int64
	Calls, Unrouted, InvalidCalls, OverCallLimit, OverCustomerLimit, OverBufferLimit                             int64
	Statuses                                                                                                     [17]int64
	Answered, Shed, Errored, ClientCancelled, DeadlineExceeded, EndedByShutdown, MessageTooLarge                 int64
	Attempts, AttemptsStarted, Committed, RetryBufferExceeded, LateResponses, ServerProtocolErrors, ClientResets int64
	MaxBufferedBytes                                                                                             int64 // bytes held at most
}

// Print writes the counters.
func (f *Proxy) Print(log zerolog.Logger, why string) {
	c, p := &f.Counters, &f.pool.Counters
	line := func() *zerolog.Event { return log.Info().Str("why", why) }
	e := line().Int64("calls", c.Calls).Int64("answered", c.Answered).Int64("shed", c.Shed).Int64("errored", c.Errored).
		Int64("left", c.ClientCancelled).Int64("expired", c.DeadlineExceeded).Int64("stopped", c.EndedByShutdown).Int64("unrouted", c.Unrouted).
		Int64("unsound", c.InvalidCalls).Int64("too_long", c.MessageTooLarge).Int64("over_calls", c.OverCallLimit).
		Int64("over_customer", c.OverCustomerLimit).Int64("over_held", c.OverBufferLimit)
	for i, n := range c.Statuses {
		if n > 0 {
			e.Int64("status_"+statusName(i), n)
		}
	}
	e.Int("open", f.openCalls).Msg("grpc calls")
	line().Int64("sent", c.Attempts).Int64("begun", c.AttemptsStarted).Int64("committed", c.Committed).Int64("outgrown", c.RetryBufferExceeded).
		Int64("late_answers", c.LateResponses).Int64("resets", c.ClientResets).Int64("bad_servers", c.ServerProtocolErrors).
		Int64("channels_opened", p.Opened).Int64("channels_failed", p.ConnectFailed).Int64("channels_lost", p.Lost).
		Int64("goaways", p.GoAways).Int64("backoffs", p.Backoffs).Int64("no_place", p.QueueFull).
		Int64("withdrawn", p.NotAccepting).Int64("channels_idle", p.IdleClosed).Int64("pings", p.Pings).
		Int64("channels_mute", p.KeepaliveTimeouts).Int("channels", f.pool.Connections()).Int("streams", f.pool.Streams()).
		Int("waiting", f.pool.Waiting()).Msg("grpc sub-requests")
	line().Int64("accepted", c.Accepted).Int64("refused", c.ConnectionsRejected).Int64("idle", c.IdleClosed).Int64("mute", c.Unresponsive).
		Int64("rude", c.ProtocolErrors).Int64("stuck", c.WriteTimeouts).Int("clients", len(f.clientConns)).Int("bytes_held", f.bufferedBytes).
		Int64("bytes_held_most", c.MaxBufferedBytes).Msg("grpc connections")
}

var _ engine.Front = (*Proxy)(nil)
var _ = policy.Answered
