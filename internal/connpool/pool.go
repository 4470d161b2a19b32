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
	MaxConnections   int     // channels to a server at once, those that are running out not counted
	MaxStreams       int     // streams on a channel, or fewer where the peer says so
	MaxWaiting       int     // streams that wait for a place at a server
	ConnectTimeout   float64 // from opening to the peer's SETTINGS
	IdleTimeout      float64 // without a stream
	InitialBackoff   float64 // after a failed connect, doubled for each that follows
	MaxBackoff       float64
	KeepaliveTime    float64 // asked for a sign of life after so long without one while streams are open; 0: never
	KeepaliveTimeout float64 // and given up so long after that
}

// Reason a stream got no place.
type Reason uint8

// Reasons why a stream has no place.
const (
	Unreachable  Reason = iota // the server can't be connected to, or could not lately
	QueueFull                  // all its streams are taken, and as many wait as may
	NotAccepting               // it is draining, gone, or has no address
	NoDescriptor               // this broker has no descriptor left
)

// StreamRequest stands for a stream that wants a place; the caller's.
type StreamRequest any

// Effects carries effects out. Effects may come within any call of the pool, which must not be called from them.
type Effects interface {
	Dial(server, channel int) bool // false: no descriptor
	StartStream(channel int, t StreamRequest)
	Reject(t StreamRequest, why Reason)
	Close(channel int) // Done is not called for streams that were on it
	Ping(channel int)
}

type connState uint8

const (
	connecting connState = iota
	ready
	draining // takes nothing new; closed when its last stream is over
)

type connection struct {
	id, serverIndex int
	state           connState
	streams         int
	peerMaxStreams  int
	deadline        float64 // to be up, or when it has been idle for too long
	lastReceivedAt  float64
	pingSentAt      float64 // a ping is out since, or 0
}

type server struct {
	connections     []*connection
	waiting         []StreamRequest
	notAccepting    bool // draining, gone, or without an address
	connectFailures int
	nextConnectAt   float64
}

// Counters since the start.
type Counters struct {
	Opened, ConnectFailed, Lost, GoAways, Backoffs, QueueFull, NotAccepting, IdleClosed, Pings, KeepaliveTimeouts int64
}

// Pool is all channels of one broker.
type Pool struct {
	Counters    Counters
	effects     Effects
	settings    Settings
	random      func() float64 // from 0 to 1
	servers     []*server
	connections []*connection
	freeIDs     []int
}

// New makes an empty pool. dice gives chance for the backoff, so that brokers do not connect in step.
func New(effects Effects, settings Settings, random func() float64) *Pool {
	return &Pool{effects: effects, settings: settings, random: random}
}

// UpdateSettings takes other settings; channels that are open obey them from now on.
func (p *Pool) UpdateSettings(settings Settings) { p.settings = settings }

func (p *Pool) serverAt(at int) *server {
	for at >= len(p.servers) {
		p.servers = append(p.servers, nil)
	}
	if p.servers[at] == nil {
		p.servers[at] = &server{notAccepting: true}
	}
	return p.servers[at]
}

func (p *Pool) maxStreams(c *connection) int { return min(p.settings.MaxStreams, c.peerMaxStreams) }

// RequestStream asks for a place at a server: at once where a channel is up and has room, the one with the fewest streams; else
// when one comes up or a stream ends.
func (p *Pool) RequestStream(now float64, at int, t StreamRequest) {
	s := p.serverAt(at)
	if s.notAccepting {
		p.Counters.NotAccepting++
		p.effects.Reject(t, NotAccepting)
		return
	}
	if c := p.leastLoaded(s); c != nil && len(s.waiting) == 0 {
		p.startStream(c, t)
		return
	}
	up, coming := 0, 0
	for _, c := range s.connections {
		switch c.state {
		case ready:
			up++
		case connecting:
			coming++
		}
	}
	// One connect at a time: what a cold server is asked for first is one channel, and one that is down one attempt.
	if coming == 0 && up < p.settings.MaxConnections {
		if now < s.nextConnectAt {
			if up == 0 {
				p.Counters.Backoffs++
				p.effects.Reject(t, Unreachable)
				return
			}
		} else if !p.dial(now, at) && up == 0 {
			p.effects.Reject(t, NoDescriptor)
			return
		}
	}
	if len(s.waiting) >= p.settings.MaxWaiting {
		p.Counters.QueueFull++
		p.effects.Reject(t, QueueFull)
		return
	}
	s.waiting = append(s.waiting, t)
}

func (p *Pool) leastLoaded(s *server) (leastLoaded *connection) {
	for _, c := range s.connections {
		if c.state == ready && c.streams < p.maxStreams(c) && (leastLoaded == nil || c.streams < leastLoaded.streams) {
			leastLoaded = c
		}
	}
	return leastLoaded
}

func (p *Pool) startStream(c *connection, t StreamRequest) {
	c.streams++
	c.deadline = math.Inf(1)
	p.effects.StartStream(c.id, t)
}

func (p *Pool) dial(now float64, at int) bool {
	c := &connection{id: len(p.connections), serverIndex: at, peerMaxStreams: p.settings.MaxStreams, deadline: now + p.settings.ConnectTimeout, lastReceivedAt: now}
	if n := len(p.freeIDs); n > 0 {
		c.id, p.freeIDs = p.freeIDs[n-1], p.freeIDs[:n-1]
		p.connections[c.id] = c
	} else {
		p.connections = append(p.connections, c)
	}
	s := p.serverAt(at)
	s.connections = append(s.connections, c)
	if p.Counters.Opened++; p.effects.Dial(at, c.id) {
		return true
	}
	p.remove(c)
	return false
}

// remove forgets a channel.
func (p *Pool) remove(c *connection) {
	s := p.servers[c.serverIndex]
	for i, o := range s.connections {
		if o == c {
			s.connections = append(s.connections[:i], s.connections[i+1:]...)
			break
		}
	}
	p.connections[c.id] = nil
	p.freeIDs = append(p.freeIDs, c.id)
}

// CancelRequest takes back a stream that waits.
func (p *Pool) CancelRequest(at int, t StreamRequest) {
	s := p.serverAt(at)
	for i, o := range s.waiting {
		if o == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Up tells that a channel's peer has said its SETTINGS: most is how many streams it takes.
func (p *Pool) Connected(now float64, id, most int) {
	c := p.connections[id]
	c.peerMaxStreams, c.lastReceivedAt = most, now
	if c.state == connecting {
		c.state, c.deadline = ready, now+p.settings.IdleTimeout
		p.servers[c.serverIndex].connectFailures = 0
	}
	p.serveWaiting(now, c.serverIndex)
}

// Received tells that something came on a channel.
func (p *Pool) Received(now float64, id int) {
	if c := p.connections[id]; c != nil {
		c.lastReceivedAt, c.pingSentAt = now, 0
	}
}

// serveWaiting gives who waits at a server the places that there are.
func (p *Pool) serveWaiting(now float64, at int) {
	s := p.serverAt(at)
	for len(s.waiting) > 0 {
		c := p.leastLoaded(s)
		if c == nil {
			break
		}
		t := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		p.startStream(c, t)
	}
	if len(s.waiting) == 0 || s.notAccepting {
		return
	}
	up, coming := 0, 0
	for _, c := range s.connections {
		if c.state == ready {
			up++
		} else if c.state == connecting {
			coming++
		}
	}
	switch {
	case coming > 0 || up >= p.settings.MaxConnections:
	case now < s.nextConnectAt:
		if up == 0 {
			p.rejectAll(s, Unreachable) // nothing will bring them a place
		}
	case !p.dial(now, at) && up == 0:
		p.rejectAll(s, NoDescriptor)
	}
}

func (p *Pool) rejectAll(s *server, why Reason) {
	waiting := s.waiting
	s.waiting = nil
	for _, t := range waiting {
		p.effects.Reject(t, why)
	}
}

// ConnectionLost tells that a channel's connection is gone, or never came up. Its streams are the caller's to end.
func (p *Pool) ConnectionLost(now float64, id int) {
	c := p.connections[id]
	if c == nil {
		return
	}
	s := p.servers[c.serverIndex]
	was := c.state
	p.remove(c)
	if was == connecting {
		p.Counters.ConnectFailed++
		p.connectFailed(now, s)
		return
	}
	p.Counters.Lost++
	p.serveWaiting(now, c.serverIndex)
}

// connectFailed waits before the next connect, longer each time, and refuses who has no channel to hope for.
func (p *Pool) connectFailed(now float64, s *server) {
	wait := min(p.settings.InitialBackoff*math.Pow(2, float64(min(s.connectFailures, 30))), p.settings.MaxBackoff)
	s.connectFailures++
	s.nextConnectAt = now + wait*(0.8+0.4*p.random())
	for _, c := range s.connections {
		if c.state == ready {
			return
		}
	}
	p.rejectAll(s, Unreachable)
}

// GoAway tells that the peer takes no new streams on a channel.
func (p *Pool) GoAway(now float64, id int) {
	c := p.connections[id]
	if c == nil || c.state == draining {
		return
	}
	p.Counters.GoAways++
	was := c.state
	c.state = draining
	if was == connecting {
		p.connectFailed(now, p.servers[c.serverIndex])
	}
	p.closeIfDrained(c)
	p.serveWaiting(now, c.serverIndex)
}

func (p *Pool) closeIfDrained(c *connection) {
	if c.state == draining && c.streams == 0 {
		p.remove(c)
		p.effects.Close(c.id)
	}
}

// StreamDone tells that a stream on a channel is over.
func (p *Pool) StreamDone(now float64, id int) {
	c := p.connections[id]
	if c == nil {
		return
	}
	must.Hold(c.streams > 0, "a stream that is over was begun")
	if c.streams--; c.streams == 0 {
		c.deadline = now + p.settings.IdleTimeout
	}
	p.closeIfDrained(c)
	p.serveWaiting(now, c.serverIndex)
}

// UpdateServer is news of a server. Not ready, it gets nothing new from now on: who waits is refused, what runs goes on. moved:
// its address is another one, so that what is open leads to the wrong place.
func (p *Pool) UpdateServer(now float64, at int, ready, moved bool) {
	s := p.serverAt(at)
	s.notAccepting = !ready
	if !ready {
		p.Counters.NotAccepting += int64(len(s.waiting))
		p.rejectAll(s, NotAccepting)
	}
	if ready && !moved {
		return
	}
	if moved {
		s.connectFailures, s.nextConnectAt = 0, 0
	}
	for _, c := range append([]*connection(nil), s.connections...) {
		if c.state == connecting {
			p.remove(c)
			p.effects.Close(c.id)
			continue
		}
		c.state = draining
		p.closeIfDrained(c)
	}
	p.serveWaiting(now, at)
}

// RemoveServer drops a server, whose index may stand for another one from now on. No stream may be waiting for it.
func (p *Pool) RemoveServer(at int) {
	s := p.serverAt(at)
	must.Hold(len(s.waiting) == 0, "nobody waits for a server that is forgotten")
	for _, c := range append([]*connection(nil), s.connections...) {
		p.remove(c)
		p.effects.Close(c.id)
	}
	p.servers[at] = nil
}

// Tick does what is due, and tells when something will be, or +Inf.
func (p *Pool) Tick(now float64) (next float64) {
	next = math.Inf(1)
	for _, c := range p.connections {
		if c == nil {
			continue
		}
		switch {
		case c.state == connecting && now >= c.deadline:
			// Silence while it comes up is a failed connect: what waits there must not wait for ever.
			p.remove(c)
			p.effects.Close(c.id)
			p.Counters.ConnectFailed++
			p.connectFailed(now, p.servers[c.serverIndex])
			continue
		case c.state == ready && c.streams == 0 && now >= c.deadline:
			p.Counters.IdleClosed++
			p.remove(c)
			p.effects.Close(c.id)
			continue
		case c.pingSentAt > 0 && now >= c.pingSentAt+p.settings.KeepaliveTimeout:
			p.Counters.KeepaliveTimeouts++
			p.remove(c)
			p.effects.Close(c.id)
			p.serveWaiting(now, c.serverIndex)
			continue
		case p.settings.KeepaliveTime > 0 && c.pingSentAt == 0 && c.streams > 0 && now >= c.lastReceivedAt+p.settings.KeepaliveTime:
			p.Counters.Pings++
			c.pingSentAt = now
			p.effects.Ping(c.id)
		}
		switch {
		case c.pingSentAt > 0:
			next = min(next, c.pingSentAt+p.settings.KeepaliveTimeout)
		case c.state == connecting || c.state == ready && c.streams == 0:
			next = min(next, c.deadline)
		case p.settings.KeepaliveTime > 0:
			next = min(next, c.lastReceivedAt+p.settings.KeepaliveTime)
		}
	}
	return next
}

// Connections counts the connections that there are now, those that are being made among them.
func (p *Pool) Connections() (n int) {
	for _, c := range p.connections {
		if c != nil {
			n++
		}
	}
	return n
}

// Streams counts the streams open on all connections now.
func (p *Pool) Streams() (n int) {
	for _, c := range p.connections {
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
