package engine

import (
	"math"
	"net/netip"

	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

const (
	heartbeatInterval = 2000.
	heartbeatTimeout  = 1.6 * heartbeatInterval // without a heartbeat for so long, a watch is opened anew
	// What a watch that has timed out misses counts as known 6 s after its last line, and the
	// time-out is found after 3.2 s at the latest: what is left has to do for two further ones that
	// hang. Each hangs longer than the last, as many aggregators may be asking.
	watchOpenTimeout = 800. // a watch that is opened has sent something within so long
	minWatchBackoff  = 50.  // after two that were lost at once the next waits, then twice as long each time
	maxWatchBackoff  = 300. // up to so long
	minWatchDuration = 1000.
	olderListTimeout = 6000.  // an update of discovery comes so late at most
	serverRetention  = 30000. // after so long no server that is gone comes back under its id, as a rule
	removeRetryDelay = 1000.  // and while something refers to it, it is looked at again so often
)

// watch is one open question to discovery.
type watch struct {
	conn            transport.Conn
	addr            netip.AddrPort
	parser          protocol.Message
	lines           protocol.LineSplitter
	openedAt        float64
	lastLineAt      float64 // when the latest line was complete: bytes that make none count for nothing
	alive           bool    // it has sent what is due at once: its head, or a line where all was asked for
	fullList        bool    // all was asked for
	awaitsFirstList bool    // no list has come on it yet
	closed          bool
}

// Subscribe implements policy.Out; there is one watch, kept open all the time.
func (e *Engine) Subscribe() { e.openWatch() }

func (e *Engine) openWatch() {
	list := &e.list
	if list.watch != nil { // in a shutdown too: attempts go on until all is answered, and drains count
		return
	}
	e.Count.Watches++
	e.sockets++
	watch := &watch{addr: list.addr, awaitsFirstList: true, openedAt: e.now, lastLineAt: e.now}
	watch.parser.ExpectResponse()
	watch.parser.SetStorage(make([]byte, 0, protocol.MaxHead))
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

// watchAlive: a watch has sent something in time.
func (e *Engine) watchAlive(watch *watch) {
	watch.lastLineAt = e.now
	if !watch.alive {
		watch.alive = true
		e.list.openTimeout = 0
	}
}

// watchTimeout is how long a watch may take that has sent nothing yet.
func (e *Engine) watchTimeout() float64 {
	if e.config.pollsDiscovery {
		return heartbeatTimeout // requests wait there, in turn and for updates, and one given up too soon makes the queue longer
	}
	return min(max(e.list.openTimeout, watchOpenTimeout), heartbeatTimeout)
}

// moveDiscovery has another address tell the list from now on. The one before is heard until then:
// it may still tell of a drain, and the new one may be slow to come up.
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
			e.closeWatch(watch) // it has sent nothing: the one before it is still the better
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

// armWatchTimer gives a watch up that has timed out, or that sends nothing once it is opened.
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
		case !watch.alive && e.now > at+stallAfter: // this aggregator stood still: what came meanwhile may be unread yet
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
	// The next is opened at once: what is sent meanwhile counts. Only those that keep on ending at
	// once are asked less often, and discovery that has to be asked is not on this machine: it ends
	// its answers, and what all ask of it adds up.
	if list.lostInARow++; why == "silent" || e.now >= watch.openedAt+minWatchDuration {
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
		case err == nil && step == protocol.HeadComplete && watch.parser.Status() != 200:
			err = badRequest("a status other than 200")
		case err == nil && step == protocol.HeadComplete && !watch.fullList:
			e.watchAlive(watch) // where nothing has changed, nothing else is due before the first beat
		case err == nil && step == protocol.Complete:
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
