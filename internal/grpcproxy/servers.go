package grpcproxy

import (
	"math"
	"net/netip"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/connpool"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
)

// serverEntry is a server of the list.
type serverEntry struct {
	id         string // "": the index is not in use
	listed     netip.AddrPort
	address    netip.AddrPort // where it serves gRPC
	hasAddress bool
	state      policy.ServerStatus
}

// ServerUpdated updates a server of the list.
func (p *Proxy) ServerUpdated(index int, id string, listed netip.AddrPort, state policy.ServerStatus) {
	for index >= len(p.servers) {
		p.servers = append(p.servers, serverEntry{state: policy.Gone})
	}
	entry := &p.servers[index]
	entry.id, entry.state = id, state
	if listed.IsValid() {
		entry.listed = listed
	}
	p.updateServer(index)
}

// updateServer tells the pool of a server's address and state.
func (p *Proxy) updateServer(index int) {
	entry := &p.servers[index]
	if entry.id == "" {
		return
	}
	before := entry.address
	entry.address, entry.hasAddress = p.settings.Addresses.AddressOf(entry.id, entry.listed)
	accepting := entry.hasAddress && (entry.state == policy.Ready || mutantDrain)
	moved := before.IsValid() && before != entry.address
	p.pool.UpdateServer(p.router.Now(), index, accepting, moved)
	if !entry.hasAddress || entry.state != policy.Ready {
		for _, conn := range p.connsOf(index) {
			conn.withdrawWaiting()
		}
	}
	p.tickPool()
}

// connsOf returns the connections to a server, in the order of the pool's identifiers.
func (p *Proxy) connsOf(index int) []*serverConn {
	var conns []*serverConn
	for _, conn := range p.serverConns {
		if conn != nil && conn.serverIndex == index {
			conns = append(conns, conn)
		}
	}
	return conns
}

// DrainGraceEnded closes connections to a server that drains or is gone, if the network has not taken some
// headers that wait there: only with the connection can they be withdrawn. Only a connection that is
// stalled has such.
func (p *Proxy) DrainGraceEnded(index int) {
	for _, conn := range p.connsOf(index) {
		if conn.hasUnsentHeaders() {
			conn.abort()
		}
	}
}

// ServerRemoved removes a server, whose index may then be another's.
func (p *Proxy) ServerRemoved(index int) {
	if index < len(p.servers) {
		p.pool.RemoveServer(index)
		p.servers[index] = serverEntry{state: policy.Gone}
	}
}

// hasAddress reports whether a server serves gRPC.
func (p *Proxy) hasAddress(index int) bool {
	return index < len(p.servers) && p.servers[index].hasAddress
}

// tickPool has the pool do what is due, and sets the timer for its next time.
func (p *Proxy) tickPool() {
	next := p.pool.Tick(p.router.Now())
	if next == p.poolTimerAt {
		return
	}
	p.router.CancelTimer(p.poolTimer)
	p.poolTimerAt = next
	if math.IsInf(next, 1) {
		return
	}
	p.poolTimer = p.router.AfterFunc(next-p.router.Now(), func() {
		p.poolTimerAt = math.Inf(1)
		p.tickPool()
	})
}

// poolEffects is the proxy as it carries out the pool's effects.
type poolEffects Proxy

func (e *poolEffects) proxy() *Proxy { return (*Proxy)(e) }

// Dial implements connpool.Effects: it begins a connection to a server.
func (e *poolEffects) Dial(server, connection int) bool {
	p := e.proxy()
	c := &serverConn{proxy: p, serverIndex: server, poolID: connection, attempts: map[*attempt]bool{}}
	c.http2 = h2.New(false, p.settings.serverLimits(), c)
	conn, ok := p.router.Connect(c, p.servers[server].address)
	if !ok {
		return false
	}
	c.conn = conn
	for connection >= len(p.serverConns) {
		p.serverConns = append(p.serverConns, nil)
	}
	p.serverConns[connection] = c
	return true
}

// StartStream implements connpool.Effects: an attempt gets a stream on a connection.
func (e *poolEffects) StartStream(connection int, request connpool.StreamRequest) {
	e.proxy().serverConns[connection].enqueue(request.(*attempt))
}

// Reject implements connpool.Effects: an attempt gets no stream, and ends.
func (e *poolEffects) Reject(request connpool.StreamRequest, reason connpool.Reason) {
	a := request.(*attempt)
	switch reason {
	case connpool.Unreachable:
		a.finish(grpcwire.ConnectFailed)
	case connpool.QueueFull:
		a.finish(grpcwire.NoStreamAvailable)
	case connpool.NoDescriptor:
		a.finish(grpcwire.NotSent)
	default:
		if !e.proxy().servers[a.serverIndex].hasAddress {
			a.finish(grpcwire.NoAddress)
			return
		}
		a.finish(grpcwire.ServerDraining)
	}
}

// Close implements connpool.Effects: it closes a connection.
func (e *poolEffects) Close(connection int) {
	p := e.proxy()
	c := p.serverConns[connection]
	p.serverConns[connection] = nil
	c.closeByPool()
}

// Ping implements connpool.Effects: it sends a keepalive ping.
func (e *poolEffects) Ping(connection int) {
	p := e.proxy()
	p.serverConns[connection].http2.Ping()
	p.scheduleFlush(p.serverConns[connection])
}
