package engine

import (
	"errors"
	"math"
	"net/netip"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/must"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// lane is a connection to a server. Calls on it take places until all of their parts are done.
type lane struct {
	conn    transport.Conn
	server  int
	addr    netip.AddrPort
	open    bool
	gone    bool
	frames  protocol.Frames
	places  int
	waiting []*call         // none of their bytes is given to the network
	subs    map[string]*sub // by the id that is written; those called off stay, so that a late reply finds them
	out     int             // that wait for a reply
	asked   int64
	written int64
	frame   int64  // where the last call began
	last    *call  // it, as long as the network may have taken none of it
	behind  []byte // what was told after it
	used    float64
	probe   float64 // when one was sent, or 0
	resting *timer
	halved  *timer // while a frame has come in part
}

// call is what one round sends to one server: one frame, one place.
type call struct {
	lane *lane
	subs []*sub
	left int
}

type stage uint8

const (
	planned stage = iota // in this round
	waiting              // for its connection, or for the frame before it
	out                  // in a frame
	over
)

// sub is one sub-request of a part.
type sub struct {
	part      *part
	no        int
	server    int
	within    float64
	begin     float64 // no later may it begin
	began     float64 // when the module sent it, and when its outcome was known
	ended     float64
	class     class
	calledOff bool
	state     stage
	call      *call
	end       int64 // where its frame ends on the lane
	limit     *timer
	moved     bool // to another connection, when the first broke before it had begun
}

// Send implements policy.Out: one more sub-request of a part goes to a server.
func (r *Router) Send(at, server int, within, begin float64) {
	p := r.slots[at].part
	s := &sub{part: p, no: len(p.subs), server: server, within: p.q.until, begin: math.Inf(1), began: r.now, class: p.classOf()}
	r.Count.Asked++
	if begin != 0 {
		s.begin = r.now + begin
	}
	p.subs = append(p.subs, s)
	if within != 0 {
		s.within = min(p.q.until, r.now+within)
	}
	v := r.catalog.servers[server]
	holds := ((v.cell-p.shard)%r.rules.places+r.rules.places)%r.rules.places < r.rules.span
	must.Hold(holds, "a part goes to a server that holds its shard")
	if !holds || p.q.ended || s.within <= r.now {
		r.over(s, policy.NeverSent, nil)
		return
	}
	if p.q.call != nil {
		r.carry(s)
		return
	}
	if len(v.planned) == 0 {
		r.sending = append(r.sending, server)
	}
	v.planned = append(v.planned, s)
}

// dispatch makes calls of what the module sent in this round.
func (r *Router) dispatch() {
	for _, i := range r.sending {
		v := r.catalog.servers[i]
		for len(v.planned) > 0 {
			n := min(r.rules.batch, len(v.planned))
			k := &call{subs: append([]*sub(nil), v.planned[:n]...)}
			v.planned = append(v.planned[:0], v.planned[n:]...)
			r.place(i, k)
		}
	}
	r.sending = r.sending[:0]
}

// place finds a call its connection: the newest that is open and has room, else one that is being opened,
// else a new one. No connection carries one id twice: a reply that comes late would be taken for the other's.
func (r *Router) place(server int, k *call) {
	v := r.catalog.servers[server]
	var at *lane
	for _, l := range v.lanes {
		if l.addr != v.addr || l.places >= r.rules.streams || l.frames.Holding() || l.carries(k) {
			continue
		}
		if at == nil || l.open || !at.open {
			at = l
		}
	}
	if at == nil {
		at = r.connect(server)
	}
	if at == nil {
		for _, s := range k.subs {
			r.over(s, policy.ConnectFailed, nil)
		}
		return
	}
	k.lane, k.left = at, len(k.subs)
	at.places++
	at.out += len(k.subs)
	at.waiting = append(at.waiting, k)
	for _, s := range k.subs {
		s.call, s.state = k, waiting
		at.subs[s.part.id] = s
		s.limit = r.timers.add(s.within, func(r *Router) { r.timedOut(s) })
	}
	r.pump(at)
}

func (l *lane) carries(k *call) bool {
	for _, s := range k.subs {
		if l.subs[s.part.id] != nil {
			return true
		}
	}
	return false
}

// connect opens a connection to a server, if there is a descriptor for it.
func (r *Router) connect(server int) *lane {
	if r.sockets >= r.rules.limit-spareSockets && !r.giveWay() {
		r.Count.NoSocket++
		return nil
	}
	v := r.catalog.servers[server]
	r.Count.Connects++
	r.sockets++
	l := &lane{server: server, addr: v.addr, subs: map[string]*sub{}, used: r.now}
	l.conn = r.net.Connect(v.addr)
	*r.peer(l.conn) = peer{lane: l}
	v.lanes = append(v.lanes, l)
	r.after(r.rules.connect, func(r *Router) {
		if !l.gone && !l.open {
			r.Count.ConnectTimeouts++
			r.dropLane(l)
		}
	})
	return l
}

func (r *Router) laneOpened(l *lane) {
	l.open = true
	l.used = r.now
	r.rest(l)
	if l.probe > 0 {
		r.scratch = protocol.AppendShort(r.scratch[:0], r.rules.ask, "")
		r.tell(l, r.scratch)
	}
	r.pump(l)
}

// rest closes a connection before it has been idle for so long that its server may close it unseen.
func (r *Router) rest(l *lane) {
	const share = 0.8
	l.resting = r.timers.add(l.used+share*r.rules.idle, func(r *Router) {
		switch {
		case l.out == 0 && r.now >= l.used+share*r.rules.idle:
			r.Count.IdleClosed++
			r.dropLane(l)
		default:
			if l.out > 0 {
				l.used = r.now
			}
			r.rest(l)
		}
	})
}

// pump gives the network one frame, once the one before it is written: until then its parts can be taken back.
func (r *Router) pump(l *lane) {
	if !l.open || l.gone || l.asked > l.written {
		return
	}
	for len(l.waiting) > 0 {
		k := l.waiting[0]
		l.waiting = append(l.waiting[:0], l.waiting[1:]...)
		if r.callGone(l, k) {
			continue
		}
		frame := protocol.AppendCall(r.scratch[:0])
		for _, s := range k.subs {
			if s.state == waiting {
				frame = protocol.AppendPart(frame, s.part.id, s.part.shard, s.within-r.now, s.part.q.mark, s.part.q.text)
			}
		}
		r.scratch = protocol.EndFrame(frame, 0)
		r.Count.Calls++
		l.frame, l.last = l.asked, nil
		r.tell(l, r.scratch)
		l.last, l.behind = k, l.behind[:0]
		for _, s := range k.subs {
			if s.state == waiting {
				s.state, s.end = out, l.asked
				r.Count.Sent++
			}
		}
		r.failing = r.failing || len(l.waiting) > 0
		return
	}
}

// unbegin takes a frame back of which the network has taken nothing yet: its parts wait again, and pump drops those that
// must not begin any more. A connection that takes nothing may take it all at any later time, long after whoever asked
// has gone or the server was told to be left alone.
func (r *Router) unbegin(l *lane) bool {
	k := l.last
	if k == nil || l.gone || !r.net.Retract(l.conn, l.frame) {
		return false
	}
	r.Count.Unbegun++
	r.Count.BytesOut -= l.asked - l.frame
	l.asked, l.last = l.frame, nil
	for _, s := range k.subs {
		if s.call == k && s.state == out {
			s.state = waiting
			r.Count.Sent--
		}
	}
	l.waiting = append([]*call{k}, l.waiting...)
	if len(l.behind) > 0 {
		r.tell(l, l.behind)
		l.behind = l.behind[:0]
	}
	return true
}

// callGone ends what must not be sent any more: parts taken back, parts of searches that are over, whether their clients
// had an answer or have left, and all of them once their server has been draining or gone for as long as new work may
// still begin.
func (r *Router) callGone(l *lane, k *call) bool {
	v := r.catalog.servers[l.server]
	late := v.state != policy.Ready && r.now >= v.since+graceShare*r.rules.grace
	left := false
	for _, s := range k.subs {
		if s.state == waiting && (late || r.now > s.begin || s.part.q.ended) {
			delete(l.subs, s.part.id) // no reply can come: kept, it would be held as long as the connection lasts
			r.over(s, policy.NeverSent, nil)
		}
		left = left || s.state == waiting
	}
	return !left
}

const graceShare = 0.8 // the network may take the rest

// letGo keeps frames from beginning for a search whose client has left while the network had taken a part of them: that can't
// be taken back, and a sub-request begins with its frame's last byte, whenever that goes out. A connection that goes on standing
// still in the middle of one is dropped; what waits behind it goes over another.
func (r *Router) letGo(q *search) {
	for _, p := range q.parts {
		for _, s := range p.subs {
			if s.call == nil || s.state != out || s.end <= s.call.lane.written {
				continue
			}
			l, end := s.call.lane, s.end
			r.after(standsStill, func(r *Router) {
				if !l.gone && end > l.written {
					r.Count.Unbegun++
					r.dropLane(l)
				}
			})
		}
	}
}

const standsStill = 200 // of the 0.3 s within which nothing of such a search begins any more

func (r *Router) tell(l *lane, b []byte) {
	if l.last != nil {
		l.behind = append(l.behind, b...)
	}
	l.asked += int64(len(b))
	l.used = r.now
	r.Count.BytesOut += int64(len(b))
	r.net.Write(l.conn, b)
}

// over ends a sub-request; the module hears of it when it is not calling.
func (r *Router) over(s *sub, how policy.Outcome, report []float64) {
	if s.state == over {
		return
	}
	s.state = over
	s.ended, s.calledOff = r.now, how == policy.Cancelled
	r.timers.drop(s.limit)
	s.limit = nil
	if k := s.call; k != nil {
		k.lane.out--
		if k.left--; k.left == 0 {
			k.lane.places--
		}
	}
	r.outcomes = append(r.outcomes, outcome{s, how, report})
}

// Cancel implements policy.Out: a sub-request is called off.
func (r *Router) Cancel(at, no int) {
	p := r.slots[at].part
	if must.Hold(no < len(p.subs), "only what was sent is called off"); no < len(p.subs) {
		r.takeBack(p.subs[no], policy.Cancelled)
	}
}

func (r *Router) timedOut(s *sub) {
	if s.state != over {
		r.takeBack(s, policy.TimedOut)
	}
}

// takeBack stops waiting: what has not begun is not sent, what has is called off. Its id stays on the
// connection.
func (r *Router) takeBack(s *sub, how policy.Outcome) {
	if c := s.part.q.call; c != nil && s.state == out {
		r.Count.CalledOff++
		c.TakeBack(s)
		r.over(s, how, nil)
		return
	}
	switch s.state {
	case planned:
		v := r.catalog.servers[s.server]
		for i, o := range v.planned {
			if o == s {
				v.planned = append(v.planned[:i], v.planned[i+1:]...)
				break
			}
		}
	case waiting:
		delete(s.call.lane.subs, s.part.id)
	case out:
		l := s.call.lane
		if s.call == l.last && r.unbegin(l) {
			delete(l.subs, s.part.id)
			r.over(s, how, nil)
			r.pump(l)
			return
		}
		if !l.gone {
			r.Count.CalledOff++
			r.scratch = protocol.AppendShort(r.scratch[:0], protocol.Abandon, s.part.id)
			r.tell(l, r.scratch)
			r.timers.add(s.part.q.until+lateMost, func(_ *Router) {
				if l.subs[s.part.id] == s {
					delete(l.subs, s.part.id)
				}
			})
		}
	}
	r.over(s, how, nil)
}

const lateMost = 10000 // after its search's time, no reply comes to what was called off

// Probe implements policy.Out: a server that is set aside is probed over a connection of its own.
func (r *Router) Probe(server int) {
	l := r.connect(server) // what is open may be what does not answer
	sent := r.now
	if l == nil {
		r.probed(server, false, sent, nil)
		return
	}
	r.Count.Probes++
	l.probe = sent
	r.after(r.rules.connect, func(r *Router) {
		if l.probe == sent && !l.gone {
			if l.probe = 0; l.out == 0 {
				r.dropLane(l)
			}
			r.probed(server, false, sent, nil)
		}
	})
}

func (r *Router) probed(server int, ok bool, sent float64, report []float64) {
	if !ok {
		r.Count.ProbesFailed++
	}
	r.probes = append(r.probes, probe{server, ok, sent, report})
}

// Close closes the idle connections to a server.
func (r *Router) Close(server int) {
	v := r.catalog.servers[server]
	for _, l := range append([]*lane(nil), v.lanes...) {
		if l.open && l.out == 0 && l.probe == 0 {
			r.dropLane(l)
		}
	}
}

func (r *Router) dropLane(l *lane) {
	r.close(l.conn)
	r.laneGone(l)
}

// laneGone ends what was out: what was written whole may have run, the rest never did.
func (r *Router) laneGone(l *lane) {
	l.gone = true
	r.timers.drop(l.resting)
	r.timers.drop(l.halved)
	*r.peer(l.conn) = peer{}
	v := r.catalog.servers[l.server]
	for i, o := range v.lanes {
		if o == l {
			v.lanes = append(v.lanes[:i], v.lanes[i+1:]...)
			break
		}
	}
	if l.frames.Stored() {
		r.pool.Put(l.frames.Store(nil))
	}
	if l.open && l.out > 0 {
		r.Count.Broken++
	}
	// What never began on a connection that was up is no sign of a server that cannot be reached: its connection may
	// have been dropped for a reply that nobody understood. Once, it goes over another.
	var again []*sub
	for _, s := range l.inOrder() {
		how := policy.ConnectFailed
		if s.state == out && s.end <= l.written {
			how = policy.Reset
		} else if l.open && !s.moved && v.state == policy.Ready && s.within > r.now {
			again = append(again, s)
			continue
		}
		r.over(s, how, nil)
	}
	for len(again) > 0 {
		n := min(r.rules.batch, len(again))
		for _, s := range again[:n] {
			r.Count.Moved++
			r.timers.drop(s.limit)
			s.moved = true
		}
		r.place(l.server, &call{subs: again[:n:n]})
		again = again[n:]
	}
	if l.probe > 0 {
		r.probed(l.server, false, l.probe, nil)
		l.probe = 0
	}
}

// laneBytes reads replies.
func (r *Router) laneBytes(l *lane, b []byte) {
	l.used = r.now
	lent, before := !l.frames.Stored(), r.Count.Frames
	if lent {
		l.frames.Store(r.work)
	}
	err := l.frames.Feed(b, func(letter byte, rest []byte) error { return r.frame(l, letter, rest) })
	switch {
	case err != nil:
		r.Count.BadFrames++
		r.log.warn("bad frame", "from %s: %v", l.addr, err)
	case !l.frames.Holding():
		r.timers.drop(l.halved)
		if was := l.frames.Store(nil); !lent {
			r.pool.Put(was)
		}
		return
	default:
		if lent || r.Count.Frames > before {
			// A length that is too long makes one frame of all that follows: nothing is answered here any more.
			r.timers.drop(l.halved)
			l.halved = r.after(frameWithin, func(r *Router) {
				r.Count.BadFrames++
				r.log.warn("bad frame", "from %s: half of one, and no more", l.addr)
				r.dropLane(l)
			})
		}
		if !lent {
			return
		}
		if buf := r.pool.Get(); buf != nil {
			l.frames.Move(buf)
			return
		}
		r.Count.NoBuffer++
	}
	if lent {
		l.frames.Store(nil)
	}
	r.dropLane(l)
}

const frameWithin = 300 // a frame that has begun ends within so long: servers write it whole

var errUnknown = errors.New("an unknown letter")

func (r *Router) frame(l *lane, letter byte, rest []byte) error {
	r.Count.Frames++
	switch letter {
	case protocol.Reply:
		return r.reply(l, rest)
	case protocol.Alive, protocol.Load:
		if l.probe == 0 {
			return nil // it came after its end
		}
		ok := string(rest) != "ERROR"
		var report []float64
		if ok && letter == protocol.Load {
			report, _ = r.read(rest)
		}
		r.probed(l.server, ok, l.probe, report)
		l.probe = 0
		return nil
	case protocol.Unusual:
		return errors.New("refused: " + string(rest[:min(len(rest), 100)]))
	}
	return errUnknown
}

func (r *Router) reply(l *lane, rest []byte) error {
	id, end, report, value, err := protocol.ReadReply(rest)
	if err != nil {
		return err
	}
	s := l.subs[string(id)]
	if s == nil || s.state == waiting {
		return errors.New("an unknown id")
	}
	values, _ := r.read(report) // one that can't be read is none: the answer beside it is good
	if delete(l.subs, string(id)); s.state != out {
		r.Count.LateReplies++
		return nil
	}
	how := policy.Answered
	switch end {
	case protocol.Errored:
		how = policy.Errored
	case protocol.TurnedAway:
		how = policy.Rejected
	default:
		if p := s.part; !p.got {
			p.got, p.value = true, append([]byte(nil), value...)
		}
	}
	r.over(s, how, values)
	return nil
}

// read puts a report's values in the order of the settings; one that misses any is none.
func (r *Router) read(report []byte) (values []float64, err error) {
	seen := 0
	err = protocol.ReadReport(report, func(name []byte, v float64) {
		if i, known := r.rules.fields[string(name)]; known {
			if values == nil {
				values = make([]float64, r.rules.nFields)
			}
			values[i] = v
			seen |= 1 << i
		}
	})
	if err != nil || seen != 1<<r.rules.nFields-1 {
		return nil, err
	}
	return values, nil
}
