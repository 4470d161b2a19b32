package engine

import (
	"math"
	"net/netip"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

const (
	heartbeatInterval = 2000.
	heartbeatTimeout  = 1.6 * heartbeatInterval // without a beat for so long, a watch is opened anew
	// What a silent watch misses counts as told 6 s after it fell silent, and it is found out after 3.2 s at the latest: what
	// is left has to do for two further ones that hang. Each hangs longer than the last, as many brokers may be asking.
	watchOpenTimeout = 800. // a watch that is opened has told something within so long
	minWatchBackoff  = 50.  // after two that were lost at once the next waits, then twice as long each time
	maxWatchBackoff  = 300. // up to so long
	minWatchLife     = 1000.
	olderListTimeout = 6000.  // so late at most comes what discovery has to tell
	serverRetention  = 30000. // after so long no server that is gone is spoken of again under its id, as a rule
	removeRetryDelay = 1000.  // and while something refers to it, it is looked at again so often
)

// serverList is the list of servers and the watch that keeps it.
type serverList struct {
	addr          netip.AddrPort
	epoch         float64   // Unix time in milliseconds when the clock was 0
	servers       []*server // nil: its index is free
	freeIndices   []int
	indexOf       map[string]int
	ready         int
	version       int64 // of the address that told it
	received      bool
	olderSince    float64 // since when watches begin with an older list, or 0
	watch         *watch
	previousWatch *watch  // at the address before, heard until the new one has told its list
	moved         bool    // that is still to come: its versions need not go on from the other's
	mayHaveMissed bool    // a watch fell silent: what it missed may be any change since, so all is asked for
	openTimeout   float64 // how long the next watch may take to tell something
	lostInARow    int     // watches lost in a row, none of which lasted
}

// watch is one open question to discovery.
type watch struct {
	conn            transport.Conn
	addr            netip.AddrPort
	parser          protocol.HTTP
	lines           protocol.Lines
	openedAt        float64
	lastLineAt      float64 // when the latest line was whole: bytes that make none are no news, however long they trickle
	alive           bool    // it has told what is due at once: its head, or a line where all was asked for
	fullList        bool    // all was asked for
	awaitsFirstList bool    // no list has come on it yet
	closed          bool
}

// server is one of the list; its index is the module's.
type server struct {
	id            string
	addr          netip.AddrPort
	position      int
	state         policy.State
	notReadySince float64 // told to be draining or gone
	goneSince     float64 // told to be gone
	conns         []*serverConn
	planned       []*attempt
	listed        bool
}

// Subscribe is the module's wish for news; there is one watch, kept open all the time.
func (e *Engine) Subscribe() { e.openWatch() }

func (e *Engine) openWatch() {
	list := &e.list
	if list.watch != nil { // while leaving too: sub-requests go on until all is answered, and drains count as told
		return
	}
	e.Count.Watches++
	e.sockets++
	watch := &watch{addr: list.addr, awaitsFirstList: true, openedAt: e.now, lastLineAt: e.now}
	watch.parser.Response()
	watch.parser.Store(make([]byte, 0, protocol.MaxHead))
	watch.parser.Stream = func(b []byte) error {
		return watch.lines.Feed(b, func(line []byte) error {
			if watch.closed {
				return nil
			}
			if e.watchAlive(watch); len(line) == 0 {
				return nil
			}
			return e.applyList(watch, line)
		})
	}
	watch.conn = e.network.Connect(list.addr)
	*e.endpoint(watch.conn) = endpoint{watch: watch}
	list.watch = watch
	e.armWatchTimer(watch)
}

// watchAlive: a watch has told something in time.
func (e *Engine) watchAlive(watch *watch) {
	watch.lastLineAt = e.now
	if !watch.alive {
		watch.alive = true
		e.list.openTimeout = 0
	}
}

// watchTimeout with a watch that has told nothing yet.
func (e *Engine) watchTimeout() float64 {
	if e.config.pollsDiscovery {
		return heartbeatTimeout // calls wait there, in turn and for news, and one given up too soon makes the turn longer
	}
	return min(max(e.list.openTimeout, watchOpenTimeout), heartbeatTimeout)
}

// moveDiscovery has another address tell the list from now on. The one before is heard until then: it may still tell of a
// drain, and the new one may be slow to come up.
func (e *Engine) moveDiscovery(to netip.AddrPort) {
	list := &e.list
	if to == list.addr {
		return
	}
	e.Count.Moves++
	e.log.info("discovery moves", "from %v to %v, version %d", list.addr, to, list.version)
	list.addr, list.moved, list.olderSince, list.openTimeout, list.lostInARow = to, true, 0, 0, 0
	if watch := list.watch; watch != nil {
		if list.watch = nil; watch.awaitsFirstList && list.previousWatch != nil {
			e.closeWatch(watch) // it has told nothing: the one before it is still the better
		} else {
			e.closeWatch(list.previousWatch)
			list.previousWatch = watch
		}
	}
	e.openWatch()
}

func (e *Engine) closeWatch(watch *watch) {
	if watch != nil && !watch.closed {
		watch.closed = true
		*e.endpoint(watch.conn) = endpoint{}
		e.close(watch.conn)
	}
}

// armWatchTimer gives a watch up that has fallen silent, or that tells nothing once it is opened.
func (e *Engine) armWatchTimer(watch *watch) {
	list := &e.list
	patience := heartbeatTimeout
	if !watch.alive {
		patience = e.watchTimeout()
	}
	at := watch.lastLineAt + patience
	e.timers.add(at, func(e *Engine) {
		switch {
		case watch.closed:
		case !watch.alive && e.now > at+stallAfter: // this broker stood still: what it was told meanwhile may be unread yet
			watch.lastLineAt = e.now - patience/2
			e.armWatchTimer(watch)
		case watch.alive && e.now < watch.lastLineAt+heartbeatTimeout, !watch.alive && e.now < watch.lastLineAt+patience:
			e.armWatchTimer(watch)
		default:
			if watch == list.watch {
				if !watch.alive {
					list.openTimeout = min(2*patience, heartbeatTimeout)
				}
				list.mayHaveMissed = true
			}
			e.dropWatch(watch, "silent")
		}
	})
}

func (e *Engine) dropWatch(watch *watch, why string) {
	e.closeWatch(watch)
	e.watchLost(watch, why)
}

func (e *Engine) watchLost(watch *watch, why string) {
	list := &e.list
	watch.closed = true
	if list.previousWatch == watch {
		list.previousWatch = nil // as a move has it
	}
	if list.watch != watch {
		return
	}
	list.watch = nil
	e.Count.WatchesLost++
	e.log.warn("watch lost", "%s, version %d", why, list.version)
	e.policy.DiscoveryFailed()
	// The next is opened at once: what is told meanwhile counts. Only those that keep on ending at once are asked less often,
	// and discovery that has to be asked is not on this machine: it ends its answers, and what all ask of it adds up.
	if list.lostInARow++; why == "silent" || e.now >= watch.openedAt+minWatchLife {
		list.lostInARow = 0
	}
	if e.config.pollsDiscovery {
		e.after(maxWatchBackoff, func(e *Engine) { e.openWatch() })
		return
	}
	if list.lostInARow < 2 {
		e.openWatch()
		return
	}
	e.after(min(minWatchBackoff*math.Pow(2, float64(list.lostInARow-2)), maxWatchBackoff), func(e *Engine) { e.openWatch() })
}

func (e *Engine) watchOpened(watch *watch) {
	list := &e.list
	after := list.version
	if watch.fullList = list.olderSince > 0 || !list.received || list.moved || list.mayHaveMissed; watch.fullList {
		after = 0
	}
	e.scratch = protocol.AppendWatch(e.scratch[:0], watch.addr.String(), after)
	e.Count.BytesOut += int64(len(e.scratch))
	e.network.Write(watch.conn, e.scratch)
}

func (e *Engine) watchBytes(watch *watch, b []byte) {
	for len(b) > 0 && !watch.closed {
		used, step, err := watch.parser.Feed(b)
		b = b[used:]
		switch {
		case err == nil && step == protocol.Headed && watch.parser.Status() != 200:
			err = badRequest("a status other than 200")
		case err == nil && step == protocol.Headed && !watch.fullList:
			e.watchAlive(watch) // where nothing has changed, nothing else is due before the first beat
		case err == nil && step == protocol.Done:
			e.dropWatch(watch, "ended")
			return
		}
		if err != nil {
			e.Count.BadLists++
			e.dropWatch(watch, err.Error())
			return
		}
	}
}

// applyList takes a whole list or changes to it. What is not understood changes nothing. An older version never
// takes a newer one's place, unless discovery, asked for everything, goes on saying so: then it counts anew. Another
// address counts anew at once: what it tells counts as told soon after a move, whatever its versions are.
func (e *Engine) applyList(watch *watch, line []byte) error {
	list := &e.list
	version, whole, err := protocol.List(line, nil)
	if err != nil {
		return err
	}
	first := watch.awaitsFirstList
	watch.awaitsFirstList = false
	if list.moved && watch == list.watch {
		list.moved, list.received = false, false
		e.log.info("discovery moved", "to %v, version %d after %d, whole %v", watch.addr, version, list.version, whole)
		e.closeWatch(list.previousWatch)
		list.previousWatch = nil
	}
	if list.received && version < list.version {
		e.Count.OldLists++
		if !whole || !first {
			return nil
		}
		if list.olderSince == 0 {
			list.olderSince = e.now
		}
		if e.now < list.olderSince+olderListTimeout {
			return badRequest("a list older than the one held")
		}
	}
	list.olderSince = 0
	if watch == list.watch {
		list.mayHaveMissed = false
	}
	list.received, list.version = true, version
	e.Count.Lists++
	for _, srv := range list.servers {
		if srv != nil {
			srv.listed = false
		}
	}
	protocol.List(line, func(id, addr, zone []byte, cell int, state uint8, weight, started float64) {
		at, found := list.indexOf[string(id)]
		to, err := netip.ParseAddrPort(string(addr))
		as := policy.State(state)
		if err != nil && as != policy.Gone || as == policy.Gone && !found {
			if err != nil && as != policy.Gone {
				e.Count.BadLists++
				e.log.warn("bad address", "of %q: %v", id, err)
				if found {
					list.servers[at].listed = true // what is not understood changes nothing
				}
			}
			return
		}
		if !found {
			at = list.add(string(id))
		}
		hall, named := e.config.zones[string(zone)]
		if !named {
			hall = -1
		}
		srv := list.servers[at]
		srv.listed = true
		if as != policy.Gone {
			srv.addr, srv.position = to, cell
		}
		if started > 0 {
			started = math.Max(started-list.epoch, 0)
		}
		e.setServerState(at, as, hall, weight, started)
	})
	if whole {
		for i, srv := range list.servers {
			if srv != nil && !srv.listed && srv.state != policy.Gone {
				e.setServerState(i, policy.Gone, 0, 0, 0)
			}
		}
	}
	return nil
}

// add gives a new id its index.
func (list *serverList) add(id string) (at int) {
	srv := &server{id: id, state: policy.Gone}
	if n := len(list.freeIndices); n > 0 {
		at, list.freeIndices = list.freeIndices[n-1], list.freeIndices[:n-1]
		list.servers[at] = srv
	} else {
		at = len(list.servers)
		list.servers = append(list.servers, srv)
	}
	list.indexOf[id] = at
	return at
}

// removeServer forgets a server that has been gone for long, once nothing refers to it: servers are replaced under ever new
// ids, and neither this list nor the module's may grow with them.
func (e *Engine) removeServer(at int, srv *server) {
	list := &e.list
	if list.servers[at] != srv || srv.state != policy.Gone {
		return
	}
	if e.now < srv.goneSince+serverRetention {
		return // it came back and went again: a later look is on its way
	}
	e.Close(at)
	if len(srv.conns) > 0 || len(srv.planned) > 0 || !e.policy.RemoveServer(at) {
		e.after(removeRetryDelay, func(e *Engine) { e.removeServer(at, srv) })
		return
	}
	for _, front := range e.fronts {
		front.ServerRemoved(at)
	}
	delete(list.indexOf, srv.id)
	list.servers[at] = nil
	list.freeIndices = append(list.freeIndices, at)
}

// retractBatches keeps frames from beginning at a server that wants nothing new.
func (e *Engine) retractBatches(srv *server) {
	for _, conn := range srv.conns {
		if e.retractBatch(conn) {
			e.writeNextBatch(conn)
		}
	}
}

// setServerState tells the module of one server.
func (e *Engine) setServerState(at int, as policy.State, hall int, weight, started float64) {
	srv := e.list.servers[at]
	if srv.state == policy.Ready {
		e.list.ready--
	}
	if as == policy.Ready {
		e.list.ready++
	} else if srv.state == policy.Ready {
		srv.notReadySince = e.now
		since := e.now
		e.after(graceShare*e.config.drainGrace, func(e *Engine) {
			if srv.notReadySince == since && srv.state != policy.Ready {
				e.retractBatches(srv)
				for _, front := range e.fronts {
					front.GraceEnded(at)
				}
			}
		})
	}
	if as == policy.Gone && srv.state != policy.Gone {
		srv.goneSince = e.now
		e.after(serverRetention, func(e *Engine) { e.removeServer(at, srv) })
	}
	srv.state = as
	for _, front := range e.fronts {
		front.Server(at, srv.id, srv.addr, as)
	}
	e.policy.Server(at, hall, srv.position, as, weight, started)
}
