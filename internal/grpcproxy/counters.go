package grpcproxy

import (
	"github.com/rs/zerolog"

	"kestrelspread/internal/grpcwire"
)

// Counters count events since the start.
type Counters struct {
	// Connections of clients.
	Accepted            int64
	ConnectionsRejected int64
	IdleClosed          int64
	Unresponsive        int64 // closed without SETTINGS, or with a part of a frame
	ProtocolErrors      int64
	WriteTimeouts       int64 // of clients, and of servers that read nothing

	// Calls.
	Calls             int64
	Unrouted          int64
	InvalidCalls      int64
	OverCallLimit     int64
	OverCustomerLimit int64
	OverBufferLimit   int64
	Statuses          [grpcwire.StatusCount]int64 // by which calls ended
	Answered          int64
	Shed              int64
	Errored           int64
	ClientCancelled   int64
	DeadlineExceeded  int64
	EndedByShutdown   int64
	MessageTooLarge   int64

	// Attempts.
	Attempts             int64 // that the engine asked for
	AttemptsStarted      int64 // whose headers were written
	Committed            int64 // by their response
	RetryBufferExceeded  int64 // committed as the request outgrew the retry buffer
	LateResponses        int64 // of attempts that others had overtaken
	ServerProtocolErrors int64
	ClientResets         int64

	MaxBufferedBytes int64 // the most that were buffered at once
}

// LogCounters logs the counters.
func (p *Proxy) LogCounters(log zerolog.Logger, why string) {
	line := func() *zerolog.Event { return log.Info().Str("why", why) }
	p.printCalls(line())
	p.printAttempts(line())
	p.printConnections(line())
}

func (p *Proxy) printCalls(e *zerolog.Event) {
	c := &p.Counters
	e.Int64("calls", c.Calls).Int64("answered", c.Answered).Int64("shed", c.Shed).Int64("errored", c.Errored).
		Int64("left", c.ClientCancelled).Int64("expired", c.DeadlineExceeded).Int64("stopped", c.EndedByShutdown).
		Int64("unrouted", c.Unrouted).Int64("unsound", c.InvalidCalls).Int64("too_long", c.MessageTooLarge).
		Int64("over_calls", c.OverCallLimit).Int64("over_customer", c.OverCustomerLimit).
		Int64("over_held", c.OverBufferLimit)
	for status, n := range c.Statuses {
		if n > 0 {
			e.Int64("status_"+grpcwire.Status(status).String(), n)
		}
	}
	e.Int("open", p.openCalls).Msg("grpc calls")
}

func (p *Proxy) printAttempts(e *zerolog.Event) {
	c, pool := &p.Counters, &p.pool.Counters
	e.Int64("sent", c.Attempts).Int64("begun", c.AttemptsStarted).Int64("committed", c.Committed).
		Int64("outgrown", c.RetryBufferExceeded).Int64("late_answers", c.LateResponses).
		Int64("resets", c.ClientResets).Int64("bad_servers", c.ServerProtocolErrors).
		Int64("channels_opened", pool.Opened).Int64("channels_failed", pool.ConnectFailed).
		Int64("channels_lost", pool.Lost).Int64("goaways", pool.GoAways).Int64("backoffs", pool.Backoffs).
		Int64("no_place", pool.QueueFull).Int64("withdrawn", pool.NotAccepting).
		Int64("channels_idle", pool.IdleClosed).Int64("pings", pool.Pings).
		Int64("channels_mute", pool.KeepaliveTimeouts).Int("channels", p.pool.Connections()).
		Int("streams", p.pool.Streams()).Int("waiting", p.pool.Waiting()).Msg("grpc sub-requests")
}

func (p *Proxy) printConnections(e *zerolog.Event) {
	c := &p.Counters
	e.Int64("accepted", c.Accepted).Int64("refused", c.ConnectionsRejected).Int64("idle", c.IdleClosed).
		Int64("mute", c.Unresponsive).Int64("rude", c.ProtocolErrors).Int64("stuck", c.WriteTimeouts).
		Int("clients", len(p.clientConns)).Int("bytes_held", p.bufferedBytes).
		Int64("bytes_held_most", c.MaxBufferedBytes).Msg("grpc connections")
}
