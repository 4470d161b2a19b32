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
	Connections int // of clients
	PerConn     int // calls open on one of them
	Calls       int // open in all
	PerCustomer int // open for one customer; 0: no limit of its own
	Held        int // bytes of calls held here, of all together
	HeldPerConn int // and of one connection's calls
	Window      int // of one stream that may wait here
	Metadata    int // of a header list
	Resets      int // calls that a connection begins and resets, in a second
	Controls    int // frames without content, in a second
	Handshake   float64
	Idle        float64 // without a call
	Half        float64 // that half a frame or header block may wait for its rest
	Stuck       float64 // that a peer may not read what waits for it
	Lag         int     // written bytes that may wait for a peer before its streams are asked for more
}

// Addresses tells where a listed server speaks gRPC: by its id, else at its listed address with the port moved by
// Offset; an Offset of 0 says that only those by id do.
type Addresses struct {
	Offset int
	ByID   map[string]netip.AddrPort
}

// Of gives a server's gRPC address, if it has one.
func (a *Addresses) Of(id string, listed netip.AddrPort) (netip.AddrPort, bool) {
	if at, ok := a.ByID[id]; ok {
		return at, true
	}
	port := int(listed.Port()) + a.Offset
	if a.Offset == 0 || !listed.IsValid() || port <= 0 || port > 65535 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(listed.Addr(), uint16(port)), true
}

// Rules are an operator's settings; they do not change once they are in use.
type Rules struct {
	Table     *routes.Table
	Limits    Limits
	Channels  connpool.Settings
	Addresses Addresses
}

// toServers are the limits on what servers send.
func (r *Rules) toServers() h2.Limits {
	return h2.Limits{InitialWindowSize: r.Limits.Window, MaxHeaderListSize: r.Limits.Metadata, MaxResetsPerSecond: 1 << 30, MaxControlFramesPerSecond: r.Limits.Controls}
}

func (r *Rules) toClients() h2.Limits {
	return h2.Limits{MaxConcurrentStreams: r.Limits.PerConn, InitialWindowSize: r.Limits.Window, MaxHeaderListSize: r.Limits.Metadata,
		MaxResetsPerSecond: r.Limits.Resets, MaxControlFramesPerSecond: r.Limits.Controls}
}

// What the operators' page states, and no operator sets.
const (
	margin     = 5.  // of a sub-request's time that its server is not told of: the way back takes some
	lastCall   = 15. // before a client gives up, a call has its status, whatever stands in the way
	timeIsUp   = 30. // so near its end a call is not shed or errored: its time is up
	fillSoft   = 0.75
	lagMost    = 1 << 20 // of frames that answer a peer's frames; who sends those and reads nothing is cut off
	firstLook  = 50.     // an idle connection is looked at no more often than that
	laterLeast = 50.     // a call over a limit may come again so much later
	laterMore  = 200.
)

// Counters since the start.
type Counters struct {
	Accepted, Refused, Idle, Mute, Rude, Stuck                        int64
	Calls, Unrouted, Unsound, OverCalls, OverCustomer, OverHeld       int64
	Statuses                                                          [17]int64
	Answered, Shed, Errored, Left, Expired, Stopped, TooLong          int64
	Sent, Begun, Committed, Outgrown, LateAnswers, BadServers, Resets int64
	Top                                                               int64 // bytes held at most
}

// Print writes the counters.
func (f *Front) Print(log zerolog.Logger, why string) {
	c, p := &f.Count, &f.pool.Count
	line := func() *zerolog.Event { return log.Info().Str("why", why) }
	e := line().Int64("calls", c.Calls).Int64("answered", c.Answered).Int64("shed", c.Shed).Int64("errored", c.Errored).
		Int64("left", c.Left).Int64("expired", c.Expired).Int64("stopped", c.Stopped).Int64("unrouted", c.Unrouted).
		Int64("unsound", c.Unsound).Int64("too_long", c.TooLong).Int64("over_calls", c.OverCalls).
		Int64("over_customer", c.OverCustomer).Int64("over_held", c.OverHeld)
	for i, n := range c.Statuses {
		if n > 0 {
			e.Int64("status_"+statusName(i), n)
		}
	}
	e.Int("open", f.open).Msg("grpc calls")
	line().Int64("sent", c.Sent).Int64("begun", c.Begun).Int64("committed", c.Committed).Int64("outgrown", c.Outgrown).
		Int64("late_answers", c.LateAnswers).Int64("resets", c.Resets).Int64("bad_servers", c.BadServers).
		Int64("channels_opened", p.Opened).Int64("channels_failed", p.Failed).Int64("channels_lost", p.Lost).
		Int64("goaways", p.Goaways).Int64("backoffs", p.Backoffs).Int64("no_place", p.NoPlace).
		Int64("withdrawn", p.Withdrawn).Int64("channels_idle", p.IdleClosed).Int64("pings", p.Pings).
		Int64("channels_mute", p.Mute).Int("channels", f.pool.Channels()).Int("streams", f.pool.Streams()).
		Int("waiting", f.pool.Waiting()).Msg("grpc sub-requests")
	line().Int64("accepted", c.Accepted).Int64("refused", c.Refused).Int64("idle", c.Idle).Int64("mute", c.Mute).
		Int64("rude", c.Rude).Int64("stuck", c.Stuck).Int("clients", len(f.clients)).Int("bytes_held", f.held).
		Int64("bytes_held_most", c.Top).Msg("grpc connections")
}

var _ engine.Front = (*Front)(nil)
var _ = policy.Answered
