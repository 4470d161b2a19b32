package engine

import (
	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/invariant"
)

// Counters of what an aggregator takes in, sends and answers since its start.
type Counters struct {
	Searches, Complete, Partial, Shed, Errored, ClientsLeft, OverPending, TooLong, BadRequests int64
	Sent, Batches, Cancelled, LateReplies, Moved, Pushbacks, AttemptsAsked, Metered            int64
	Outcomes                                                                                   [policy.NeverSent + 1]int64
	Accepted, Evicted, Paused, WriteTimeouts, Silent, Idle                                     int64
	Connects, ConnectTimeouts, Broken, IdleClosed, NoSocket, NoBuffer                          int64
	Retracted, CloseRetries                                                                    int64
	Probes, ProbesFailed, Watches, WatchesLost, Moves, Lists, OldLists, BadLists               int64
	Frames, BadFrames, Panics, BytesIn, BytesOut                                               int64
}

func (count *Counters) outcome(how policy.Outcome) { count.Outcomes[how]++ }

var outcomeNames = [...]string{"answered", "errored", "full", "timed_out", "no_connect", "reset", "cancelled", "moot"}

// Print writes the counters, in four lines, and one for each query type of which searches were
// refused.
func (e *Engine) Print(why string) {
	line := func() *zerolog.Event { return e.log.log.Info().Str("why", why) }
	e.printSearches(line())
	e.printAttempts(line())
	e.printConnections(line())
	e.printRest(line())
	for kind, name := range e.config.kindNames {
		e.printRefusals(line().Str("type", name), kind)
	}
	for _, front := range e.fronts {
		front.Print(e.log.log, why)
	}
}

func (e *Engine) printSearches(line *zerolog.Event) {
	count := &e.Count
	line.Int64("searches", count.Searches).
		Int64("whole", count.Complete).
		Int64("partial", count.Partial).
		Int64("shed", count.Shed).
		Int64("errored", count.Errored).
		Int64("left", count.ClientsLeft).
		Int64("over_held", count.OverPending).
		Int64("too_long", count.TooLong).
		Int64("bad_requests", count.BadRequests).
		Int("held", e.openSearches).
		Msg("searches")
}

func (e *Engine) printAttempts(line *zerolog.Event) {
	count := &e.Count
	line.Int64("sent", count.Sent).
		Int64("calls", count.Batches).
		Int64("called_off", count.Cancelled).
		Int64("late_replies", count.LateReplies).
		Int64("moved", count.Moved).
		Int64("pushbacks", count.Pushbacks).
		Int64("unbegun", count.Retracted)
	for outcome, name := range outcomeNames {
		line.Int64(name, count.Outcomes[outcome])
	}
	line.Msg("sub-requests")
}

func (e *Engine) printConnections(line *zerolog.Event) {
	count := &e.Count
	line.Int64("accepted", count.Accepted).
		Int64("gave_way", count.Evicted).
		Int64("paused", count.Paused).
		Int64("stuck", count.WriteTimeouts).
		Int64("silent", count.Silent).
		Int64("idle", count.Idle).
		Int64("connects", count.Connects).
		Int64("connect_timeouts", count.ConnectTimeouts).
		Int64("broken", count.Broken).
		Int64("idle_closed", count.IdleClosed).
		Int64("no_socket", count.NoSocket).
		Int64("ajar", count.CloseRetries).
		Int("clients", e.clients).
		Int("sockets", e.sockets).
		Msg("connections")
}

func (e *Engine) printRest(line *zerolog.Event) {
	count := &e.Count
	line.Int64("probes", count.Probes).
		Int64("probes_failed", count.ProbesFailed).
		Int64("watches", count.Watches).
		Int64("watches_lost", count.WatchesLost).
		Int64("moves", count.Moves).
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

// printRefusals writes how many searches of a query type were refused, by reason; nothing where
// none was.
func (e *Engine) printRefusals(line *zerolog.Event, kind int) {
	refused := false
	for reason, n := range e.policy.Refusals(kind) {
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
