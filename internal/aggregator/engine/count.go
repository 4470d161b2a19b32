package engine

import (
	"sort"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/must"
)

// Counters of what a broker takes in, sends and answers since its start.
type Counters struct {
	Searches, Whole, Partial, Shed, Errored, Left, OverHeld, TooLong, BadRequests int64
	Sent, Calls, CalledOff, LateReplies, Moved, Pushbacks, Asked, Metered         int64
	Outcomes                                                                      [policy.NeverSent + 1]int64
	Accepted, GaveWay, Paused, Stuck, Silent, Idle                                int64
	Connects, ConnectTimeouts, Broken, IdleClosed, NoSocket, NoBuffer             int64
	Unbegun, Ajar                                                                 int64
	Probes, ProbesFailed, Watches, WatchesLost, Moves, Lists, OldLists, BadLists  int64
	Frames, BadFrames, Panics, BytesIn, BytesOut                                  int64
}

func (c *Counters) outcome(how policy.Outcome) { c.Outcomes[how]++ }

var outcomeNames = [...]string{"answered", "errored", "full", "timed_out", "no_connect", "reset", "cancelled", "moot"}

// Print writes the counters, in four lines, and one for each query type of which searches were refused.
func (r *Router) Print(why string) {
	c := &r.Count
	line := func() *zerolog.Event { return r.log.log.Info().Str("why", why) }
	line().Int64("searches", c.Searches).Int64("whole", c.Whole).Int64("partial", c.Partial).Int64("shed", c.Shed).
		Int64("errored", c.Errored).Int64("left", c.Left).Int64("over_held", c.OverHeld).
		Int64("too_long", c.TooLong).Int64("bad_requests", c.BadRequests).Int("held", r.searches).Msg("searches")
	e := line().Int64("sent", c.Sent).Int64("calls", c.Calls).Int64("called_off", c.CalledOff).
		Int64("late_replies", c.LateReplies).Int64("moved", c.Moved).Int64("pushbacks", c.Pushbacks).Int64("unbegun", c.Unbegun)
	for i, name := range outcomeNames {
		e.Int64(name, c.Outcomes[i])
	}
	e.Msg("sub-requests")
	line().Int64("accepted", c.Accepted).Int64("gave_way", c.GaveWay).Int64("paused", c.Paused).Int64("stuck", c.Stuck).
		Int64("silent", c.Silent).Int64("idle", c.Idle).
		Int64("connects", c.Connects).Int64("connect_timeouts", c.ConnectTimeouts).Int64("broken", c.Broken).
		Int64("idle_closed", c.IdleClosed).Int64("no_socket", c.NoSocket).Int64("ajar", c.Ajar).Int("clients", r.clients).
		Int("sockets", r.sockets).Msg("connections")
	line().Int64("probes", c.Probes).Int64("probes_failed", c.ProbesFailed).Int64("watches", c.Watches).
		Int64("watches_lost", c.WatchesLost).Int64("moves", c.Moves).Int64("lists", c.Lists).
		Int64("old_lists", c.OldLists).Int64("bad_lists", c.BadLists).Int64("frames", c.Frames).Int64("bad_frames", c.BadFrames).Int64("bytes_in", c.BytesIn).
		Int64("bytes_out", c.BytesOut).Int64("no_buffer", c.NoBuffer).Int("buffers_most", r.pool.Top()).
		Int64("panics", c.Panics).Int64("must_broken", must.Broken()).Int64("log_held_back", r.log.held).
		Msg("rest")
	for kind, name := range r.rules.kindNames {
		e, any := line().Str("type", name), false
		for step, n := range r.port.Refusals(kind) {
			if n > 0 {
				e, any = e.Int(policy.RefusalReason(step).String(), n), true
			}
		}
		if any {
			e.Msg("refused")
		} else {
			e.Discard().Send()
		}
	}
	for _, f := range r.fronts {
		f.Print(r.log.log, why)
	}
}

const noteEvery = 1000.

// notes keeps log lines few: of each kind one a second, with how many were left out.
type notes struct {
	log  zerolog.Logger
	now  float64
	last map[string]float64
	left map[string]int64
	held int64
}

func (n *notes) warn(kind, form string, args ...any) { n.say(n.log.Warn(), kind, form, args) }
func (n *notes) info(kind, form string, args ...any) { n.say(n.log.Info(), kind, form, args) }

func (n *notes) fail(what any, stack []byte) {
	n.say(n.log.Error().Str("stack", string(stack)), "an event failed", "%v", []any{what})
}

func (n *notes) say(e *zerolog.Event, kind, form string, args []any) {
	if n.last == nil {
		n.last, n.left = map[string]float64{}, map[string]int64{}
	}
	if at, said := n.last[kind]; said && n.now < at+noteEvery {
		n.left[kind]++
		n.held++
		e.Discard()
		return
	}
	n.last[kind] = n.now
	if left := n.left[kind]; left > 0 {
		n.left[kind] = 0
		e = e.Int64("left_out", left)
	}
	e.Str("kind", kind).Msgf(form, args...)
}

// inOrder gives a lane's sub-requests in the order in which they were sent, which a map does not keep.
func (l *lane) inOrder() []*sub {
	list := make([]*sub, 0, len(l.subs))
	for _, s := range l.subs {
		if s.state != over {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.part.at != b.part.at {
			return a.part.at < b.part.at
		}
		return a.no < b.no
	})
	return list
}
