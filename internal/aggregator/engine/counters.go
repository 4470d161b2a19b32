package engine

import (
	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/invariant"
)

// Counters counts the events of an aggregator since its start.
type Counters struct {
	// Searches, by their end.
	Searches, Complete, Partial, Shed, Errored, ClientsLeft, OverPendingLimit, AnswersTooLong, BadRequests int64
	// Attempts and batches; Outcomes is indexed by policy.Outcome.
	AttemptsSent, Batches, AttemptsCancelled, LateReplies, AttemptsMoved, Pushbacks, AttemptsRequested, Metered int64
	Outcomes                                                                                                    [policy.NeverSent + 1]int64
	// Client connections.
	Accepted, Evicted, AcceptPauses, WriteTimeouts, SilentClientsDropped, IdleClientsDropped int64
	// Connections that the engine opens; NoSocket and NoBuffer count descriptors and buffers that were not available.
	ConnsRequested, ConnectTimeouts, ServerConnsBroken, IdleServerConnsClosed, NoSocket, NoBuffer int64
	// FramesRetracted counts frames that were kept from beginning, also by dropping their connection.
	FramesRetracted, ListenerCloseRetries int64
	// Health checks, watches and server lists.
	Probes, ProbesFailed, Watches, WatchesLost, DiscoveryMoves, Lists, OldLists, BadLists int64
	// Frames from servers, panics that were recovered, and bytes on all connections.
	Frames, BadFrames, Panics, BytesIn, BytesOut int64
}

// countOutcome counts the outcome of an attempt.
func (count *Counters) countOutcome(outcome policy.Outcome) { count.Outcomes[outcome]++ }

// outcomeNames are the log fields of the outcomes of policy.Outcome, in its order.
var outcomeNames = [...]string{"answered", "errored", "full", "timed_out", "no_connect", "reset", "cancelled", "moot"}

// LogCounters logs the counters in four lines, plus one line for each query type of which searches were
// refused; why says what asked for them.
func (e *Engine) LogCounters(why string) {
	line := func() *zerolog.Event { return e.log.log.Info().Str("why", why) }
	e.logSearchCounters(line())
	e.logAttemptCounters(line())
	e.logConnectionCounters(line())
	e.logOtherCounters(line())
	for queryType, name := range e.config.queryTypeNames {
		e.logRefusals(line().Str("type", name), queryType)
	}
	for _, frontend := range e.frontends {
		frontend.LogCounters(e.log.log, why)
	}
}

// logSearchCounters logs what became of searches.
func (e *Engine) logSearchCounters(line *zerolog.Event) {
	count := &e.Counters
	line.Int64("searches", count.Searches).
		Int64("whole", count.Complete).
		Int64("partial", count.Partial).
		Int64("shed", count.Shed).
		Int64("errored", count.Errored).
		Int64("left", count.ClientsLeft).
		Int64("over_held", count.OverPendingLimit).
		Int64("too_long", count.AnswersTooLong).
		Int64("bad_requests", count.BadRequests).
		Int("held", e.openSearches).
		Msg("searches")
}

// logAttemptCounters logs attempts and their outcomes.
func (e *Engine) logAttemptCounters(line *zerolog.Event) {
	count := &e.Counters
	line.Int64("sent", count.AttemptsSent).
		Int64("calls", count.Batches).
		Int64("called_off", count.AttemptsCancelled).
		Int64("late_replies", count.LateReplies).
		Int64("moved", count.AttemptsMoved).
		Int64("pushbacks", count.Pushbacks).
		Int64("unbegun", count.FramesRetracted)
	for outcome, name := range outcomeNames {
		line.Int64(name, count.Outcomes[outcome])
	}
	line.Msg("sub-requests")
}

// logConnectionCounters logs connections of clients and to servers.
func (e *Engine) logConnectionCounters(line *zerolog.Event) {
	count := &e.Counters
	line.Int64("accepted", count.Accepted).
		Int64("gave_way", count.Evicted).
		Int64("paused", count.AcceptPauses).
		Int64("stuck", count.WriteTimeouts).
		Int64("silent", count.SilentClientsDropped).
		Int64("idle", count.IdleClientsDropped).
		Int64("connects", count.ConnsRequested).
		Int64("connect_timeouts", count.ConnectTimeouts).
		Int64("broken", count.ServerConnsBroken).
		Int64("idle_closed", count.IdleServerConnsClosed).
		Int64("no_socket", count.NoSocket).
		Int64("ajar", count.ListenerCloseRetries).
		Int("clients", e.clientCount).
		Int("sockets", e.socketCount).
		Msg("connections")
}

// logOtherCounters logs health checks, discovery, frames, buffers and faults.
func (e *Engine) logOtherCounters(line *zerolog.Event) {
	count := &e.Counters
	line.Int64("probes", count.Probes).
		Int64("probes_failed", count.ProbesFailed).
		Int64("watches", count.Watches).
		Int64("watches_lost", count.WatchesLost).
		Int64("moves", count.DiscoveryMoves).
		Int64("lists", count.Lists).
		Int64("old_lists", count.OldLists).
		Int64("bad_lists", count.BadLists).
		Int64("frames", count.Frames).
		Int64("bad_frames", count.BadFrames).
		Int64("bytes_in", count.BytesIn).
		Int64("bytes_out", count.BytesOut).
		Int64("no_buffer", count.NoBuffer).
		Int("buffers_most", e.pool.Peak()).
		Int64("panics", count.Panics).
		Int64("must_broken", invariant.Violations()).
		Int64("log_held_back", e.log.suppressed).
		Msg("rest")
}

// logRefusals logs how many searches of a query type were refused, by reason, if any were.
func (e *Engine) logRefusals(line *zerolog.Event, queryType int) {
	refused := false
	for reason, n := range e.policy.Refusals(queryType) {
		if n > 0 {
			refused = true
			line.Int(policy.RefusalReason(reason).String(), n)
		}
	}
	if refused {
		line.Msg("refused")
	} else {
		line.Discard().Send()
	}
}
