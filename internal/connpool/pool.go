// Package connpool decides over which connection to a server a stream goes, when one is opened, held back, closed or
// given up. Which server it is, and whether anything is tried again, is the decision module's. Pure: events in, effects
// out, the time with each event.
//
// What it guards against: a server that is down costs one connect for each backoff, not one for each call; a server that
// says GOAWAY, or is listed as draining, gets nothing new while what runs there goes on; streams over what a peer takes
// wait, a bounded number of them, or are refused at once; a peer that no longer speaks is found out by a ping.
package connpool

import (
	"math"

	"kestrelspread/internal/must"
)

// Settings are an operator's. Times are milliseconds.
type Settings struct {
	Most        int     // channels to a server at once, those that are running out not counted
	Streams     int     // streams on a channel, or fewer where the peer says so
	Waiting     int     // streams that wait for a place at a server
	Connect     float64 // from opening to the peer's SETTINGS
	Idle        float64 // without a stream
	Backoff     float64 // after a failed connect, doubled for each that follows
	BackoffMost float64
	Ping        float64 // asked for a sign of life after so long without one while streams are open; 0: never
	PingWait    float64 // and given up so long after that
}

// Why a stream got no place.
type Why uint8

// Reasons why a stream has no place.
const (
	Unreachable Why = iota // the server can't be connected to, or could not lately
	NoPlace                // all its streams are taken, and as many wait as may
	Withdrawn              // it is draining, gone, or has no address
	NoSocket               // this broker has no descriptor left
)

// Token stands for a stream that wants a place; the caller's.
type Token any

// Out carries effects out. Effects may come within any call of the pool, which must not be called from them.
type Out interface {
	Open(server, channel int) bool // false: no descriptor
	Begin(channel int, t Token)
	Refuse(t Token, why Why)
	Close(channel int) // Done is not called for streams that were on it
	Ping(channel int)
}

type state uint8

const (
	opening state = iota
	ready
	ending // takes nothing new; closed when its last stream is over
)

type channel struct {
	id, server int
	state      state
	streams    int
	peerMost   int
	due        float64 // to be up, or when it has been idle for too long
	heard      float64
	asked      float64 // a ping is out since, or 0
}

type server struct {
	channels []*channel
	waiting  []Token
	refusing bool // draining, gone, or without an address
	failures int
	notUntil float64
}

// Counters since the start.
type Counters struct {
	Opened, Failed, Lost, Goaways, Backoffs, NoPlace, Withdrawn, IdleClosed, Pings, Mute int64
}

// Pool is all channels of one broker.
type Pool struct {
	Count    Counters
	out      Out
	set      Settings
	dice     func() float64 // from 0 to 1
	servers  []*server
	channels []*channel
	free     []int
}

// New makes an empty pool. dice gives chance for the backoff, so that brokers do not connect in step.
func New(out Out, set Settings, dice func() float64) *Pool {
	return &Pool{out: out, set: set, dice: dice}
}

// Set takes other settings; channels that are open obey them from now on.
func (p *Pool) Set(set Settings) { p.set = set }

func (p *Pool) server(at int) *server {
	for at >= len(p.servers) {
		p.servers = append(p.servers, nil)
	}
	if p.servers[at] == nil {
		p.servers[at] = &server{refusing: true}
	}
	return p.servers[at]
}

func (p *Pool) most(c *channel) int { return min(p.set.Streams, c.peerMost) }

// Want asks for a place at a server: at once where a channel is up and has room, the one with the fewest streams; else
// when one comes up or a stream ends.
func (p *Pool) Want(now float64, at int, t Token) {
	s := p.server(at)
	if s.refusing {
		p.Count.Withdrawn++
		p.out.Refuse(t, Withdrawn)
		return
	}
	if c := p.best(s); c != nil && len(s.waiting) == 0 {
		p.begin(c, t)
		return
	}
	up, coming := 0, 0
	for _, c := range s.channels {
		switch c.state {
		case ready:
			up++
		case opening:
			coming++
		}
	}
	// One connect at a time: what a cold server is asked for first is one channel, and one that is down one attempt.
	if coming == 0 && up < p.set.Most {
		if now < s.notUntil {
			if up == 0 {
				p.Count.Backoffs++
				p.out.Refuse(t, Unreachable)
				return
			}
		} else if !p.open(now, at) && up == 0 {
			p.out.Refuse(t, NoSocket)
			return
		}
	}
	if len(s.waiting) >= p.set.Waiting {
		p.Count.NoPlace++
		p.out.Refuse(t, NoPlace)
		return
	}
	s.waiting = append(s.waiting, t)
}

func (p *Pool) best(s *server) (best *channel) {
	for _, c := range s.channels {
		if c.state == ready && c.streams < p.most(c) && (best == nil || c.streams < best.streams) {
			best = c
		}
	}
	return best
}

func (p *Pool) begin(c *channel, t Token) {
	c.streams++
	c.due = math.Inf(1)
	p.out.Begin(c.id, t)
}

func (p *Pool) open(now float64, at int) bool {
	c := &channel{id: len(p.channels), server: at, peerMost: p.set.Streams, due: now + p.set.Connect, heard: now}
	if n := len(p.free); n > 0 {
		c.id, p.free = p.free[n-1], p.free[:n-1]
		p.channels[c.id] = c
	} else {
		p.channels = append(p.channels, c)
	}
	s := p.server(at)
	s.channels = append(s.channels, c)
	if p.Count.Opened++; p.out.Open(at, c.id) {
		return true
	}
	p.drop(c)
	return false
}

// drop forgets a channel.
func (p *Pool) drop(c *channel) {
	s := p.servers[c.server]
	for i, o := range s.channels {
		if o == c {
			s.channels = append(s.channels[:i], s.channels[i+1:]...)
			break
		}
	}
	p.channels[c.id] = nil
	p.free = append(p.free, c.id)
}

// Forget takes back a stream that waits.
func (p *Pool) Forget(at int, t Token) {
	s := p.server(at)
	for i, o := range s.waiting {
		if o == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Up tells that a channel's peer has said its SETTINGS: most is how many streams it takes.
func (p *Pool) Up(now float64, id, most int) {
	c := p.channels[id]
	c.peerMost, c.heard = most, now
	if c.state == opening {
		c.state, c.due = ready, now+p.set.Idle
		p.servers[c.server].failures = 0
	}
	p.fill(now, c.server)
}

// Heard tells that something came on a channel.
func (p *Pool) Heard(now float64, id int) {
	if c := p.channels[id]; c != nil {
		c.heard, c.asked = now, 0
	}
}

// fill gives who waits at a server the places that there are.
func (p *Pool) fill(now float64, at int) {
	s := p.server(at)
	for len(s.waiting) > 0 {
		c := p.best(s)
		if c == nil {
			break
		}
		t := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		p.begin(c, t)
	}
	if len(s.waiting) == 0 || s.refusing {
		return
	}
	up, coming := 0, 0
	for _, c := range s.channels {
		if c.state == ready {
			up++
		} else if c.state == opening {
			coming++
		}
	}
	switch {
	case coming > 0 || up >= p.set.Most:
	case now < s.notUntil:
		if up == 0 {
			p.refuseAll(s, Unreachable) // nothing will bring them a place
		}
	case !p.open(now, at) && up == 0:
		p.refuseAll(s, NoSocket)
	}
}

func (p *Pool) refuseAll(s *server, why Why) {
	waiting := s.waiting
	s.waiting = nil
	for _, t := range waiting {
		p.out.Refuse(t, why)
	}
}

// Lost tells that a channel's connection is gone, or never came up. Its streams are the caller's to end.
func (p *Pool) Lost(now float64, id int) {
	c := p.channels[id]
	if c == nil {
		return
	}
	s := p.servers[c.server]
	was := c.state
	p.drop(c)
	if was == opening {
		p.Count.Failed++
		p.failed(now, s)
		return
	}
	p.Count.Lost++
	p.fill(now, c.server)
}

// failed waits before the next connect, longer each time, and refuses who has no channel to hope for.
func (p *Pool) failed(now float64, s *server) {
	wait := min(p.set.Backoff*math.Pow(2, float64(min(s.failures, 30))), p.set.BackoffMost)
	s.failures++
	s.notUntil = now + wait*(0.8+0.4*p.dice())
	for _, c := range s.channels {
		if c.state == ready {
			return
		}
	}
	p.refuseAll(s, Unreachable)
}

// Leaving tells that the peer takes no new streams on a channel.
func (p *Pool) Leaving(now float64, id int) {
	c := p.channels[id]
	if c == nil || c.state == ending {
		return
	}
	p.Count.Goaways++
	was := c.state
	c.state = ending
	if was == opening {
		p.failed(now, p.servers[c.server])
	}
	p.endIfIdle(c)
	p.fill(now, c.server)
}

func (p *Pool) endIfIdle(c *channel) {
	if c.state == ending && c.streams == 0 {
		p.drop(c)
		p.out.Close(c.id)
	}
}

// Done tells that a stream on a channel is over.
func (p *Pool) Done(now float64, id int) {
	c := p.channels[id]
	if c == nil {
		return
	}
	must.Hold(c.streams > 0, "a stream that is over was begun")
	if c.streams--; c.streams == 0 {
		c.due = now + p.set.Idle
	}
	p.endIfIdle(c)
	p.fill(now, c.server)
}

// Server is news of a server. Not ready, it gets nothing new from now on: who waits is refused, what runs goes on. moved:
// its address is another one, so that what is open leads to the wrong place.
func (p *Pool) Server(now float64, at int, ready, moved bool) {
	s := p.server(at)
	s.refusing = !ready
	if !ready {
		p.Count.Withdrawn += int64(len(s.waiting))
		p.refuseAll(s, Withdrawn)
	}
	if ready && !moved {
		return
	}
	if moved {
		s.failures, s.notUntil = 0, 0
	}
	for _, c := range append([]*channel(nil), s.channels...) {
		if c.state == opening {
			p.drop(c)
			p.out.Close(c.id)
			continue
		}
		c.state = ending
		p.endIfIdle(c)
	}
	p.fill(now, at)
}

// Forgotten drops a server, whose index may stand for another one from now on. No stream may be waiting for it.
func (p *Pool) Forgotten(at int) {
	s := p.server(at)
	must.Hold(len(s.waiting) == 0, "nobody waits for a server that is forgotten")
	for _, c := range append([]*channel(nil), s.channels...) {
		p.drop(c)
		p.out.Close(c.id)
	}
	p.servers[at] = nil
}

// Tick does what is due, and tells when something will be, or +Inf.
func (p *Pool) Tick(now float64) (next float64) {
	next = math.Inf(1)
	for _, c := range p.channels {
		if c == nil {
			continue
		}
		switch {
		case c.state == opening && now >= c.due:
			// Silence while it comes up is a failed connect: what waits there must not wait for ever.
			p.drop(c)
			p.out.Close(c.id)
			p.Count.Failed++
			p.failed(now, p.servers[c.server])
			continue
		case c.state == ready && c.streams == 0 && now >= c.due:
			p.Count.IdleClosed++
			p.drop(c)
			p.out.Close(c.id)
			continue
		case c.asked > 0 && now >= c.asked+p.set.PingWait:
			p.Count.Mute++
			p.drop(c)
			p.out.Close(c.id)
			p.fill(now, c.server)
			continue
		case p.set.Ping > 0 && c.asked == 0 && c.streams > 0 && now >= c.heard+p.set.Ping:
			p.Count.Pings++
			c.asked = now
			p.out.Ping(c.id)
		}
		switch {
		case c.asked > 0:
			next = min(next, c.asked+p.set.PingWait)
		case c.state == opening || c.state == ready && c.streams == 0:
			next = min(next, c.due)
		case p.set.Ping > 0:
			next = min(next, c.heard+p.set.Ping)
		}
	}
	return next
}

// Channels counts the connections that there are now, those that are being made among them.
func (p *Pool) Channels() (n int) {
	for _, c := range p.channels {
		if c != nil {
			n++
		}
	}
	return n
}

// Streams counts the streams open on all connections now.
func (p *Pool) Streams() (n int) {
	for _, c := range p.channels {
		if c != nil {
			n += c.streams
		}
	}
	return n
}

// Waiting counts the streams that wait for a place on a connection now.
func (p *Pool) Waiting() (n int) {
	for _, s := range p.servers {
		if s != nil {
			n += len(s.waiting)
		}
	}
	return n
}
