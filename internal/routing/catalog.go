package routing

import (
	"math"
	"net/netip"

	"kestrelspread/internal/decide"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

const (
	beat     = 2000.
	silence  = 1.6 * beat // without a beat for so long, a watch is opened anew
	askAgain = 300.       // after it was lost
	insists  = 6000.      // so late at most comes what discovery has to tell
)

// catalog is the list of servers and the watch that keeps it.
type catalog struct {
	addr    netip.AddrPort
	epoch   float64 // Unix time in milliseconds when the clock was 0
	servers []*server
	index   map[string]int
	ready   int
	version int64
	told    bool

	conn   transport.Conn
	in     protocol.HTTP
	lines  protocol.Lines
	heard  float64
	opened int     // counts watches, so that a timer of an older one is known
	first  bool    // no list has come on this watch yet
	older  float64 // since when watches begin with an older list, or 0
}

// server is one of the list; its index is the module's.
type server struct {
	addr    netip.AddrPort
	cell    int
	state   decide.State
	since   float64 // told to be draining or gone
	lanes   []*lane
	planned []*sub
	seen    bool
}

// Subscribe is the module's wish for news; there is one watch, kept open all the time.
func (r *Router) Subscribe() {
	if r.catalog.conn == none {
		r.watch()
	}
}

func (r *Router) watch() {
	k := &r.catalog
	if k.conn != none || r.leaving {
		return
	}
	r.Count.Watches++
	r.sockets++
	k.opened++
	k.in, k.lines, k.first, k.heard = protocol.HTTP{}, protocol.Lines{}, true, r.now
	k.in.Response()
	k.in.Store(make([]byte, 0, protocol.MaxHead))
	k.in.Stream = func(b []byte) error { return k.lines.Feed(b, r.line) }
	k.conn = r.net.Connect(k.addr)
	r.listen(k.opened)
}

// listen gives a watch up that has fallen silent.
func (r *Router) listen(opened int) {
	k := &r.catalog
	r.timers.add(k.heard+silence, func(r *Router) {
		switch {
		case k.opened != opened || k.conn == none:
		case r.now >= k.heard+silence:
			r.dropWatch("silent")
		default:
			r.listen(opened)
		}
	})
}

func (r *Router) dropWatch(why string) {
	c := r.catalog.conn
	r.catalog.conn = none
	r.close(c)
	r.watchLost(why)
}

func (r *Router) watchLost(why string) {
	r.Count.WatchesLost++
	r.log.warn("watch lost", "%s, version %d", why, r.catalog.version)
	r.port.Unlisted()
	r.after(askAgain, func(r *Router) { r.watch() })
}

func (r *Router) watchOpened() {
	k := &r.catalog
	after := k.version
	if k.older > 0 || !k.told {
		after = 0
	}
	r.scratch = protocol.AppendWatch(r.scratch[:0], k.addr.String(), after)
	r.Count.BytesOut += int64(len(r.scratch))
	r.net.Write(k.conn, r.scratch)
}

func (r *Router) watchBytes(b []byte) {
	k := &r.catalog
	k.heard = r.now
	for len(b) > 0 {
		used, step, err := k.in.Feed(b)
		b = b[used:]
		switch {
		case err == nil && step == protocol.Headed && k.in.Status() != 200:
			err = badRequest("a status other than 200")
		case err == nil && step == protocol.Done:
			r.dropWatch("ended")
			return
		}
		if err != nil {
			r.Count.BadLists++
			r.dropWatch(err.Error())
			return
		}
	}
}

func (r *Router) line(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	return r.list(line)
}

// list takes a whole list or changes to it. What is not understood changes nothing. An older version never
// takes a newer one's place, unless discovery, asked for everything, goes on saying so: then it counts anew.
func (r *Router) list(line []byte) error {
	k := &r.catalog
	version, whole, err := protocol.List(line, nil)
	if err != nil {
		return err
	}
	first := k.first
	k.first = false
	if k.told && version < k.version {
		r.Count.OldLists++
		if !whole || !first {
			return nil
		}
		if k.older == 0 {
			k.older = r.now
		}
		if r.now < k.older+insists {
			return badRequest("a list older than the one held")
		}
	}
	k.older = 0
	k.told, k.version = true, version
	r.Count.Lists++
	for _, v := range k.servers {
		v.seen = false
	}
	protocol.List(line, func(id, addr, zone []byte, cell int, state uint8, weight, started float64) {
		at, found := k.index[string(id)]
		to, err := netip.ParseAddrPort(string(addr))
		as := decide.State(state)
		if err != nil && as != decide.Gone || as == decide.Gone && !found {
			if err != nil && as != decide.Gone {
				r.Count.BadLists++
				r.log.warn("bad address", "of %q: %v", id, err)
				if found {
					k.servers[at].seen = true // what is not understood changes nothing
				}
			}
			return
		}
		if !found {
			at = len(k.servers)
			k.index[string(id)] = at
			k.servers = append(k.servers, &server{state: decide.Gone})
		}
		hall, named := r.rules.halls[string(zone)]
		if !named {
			hall = -1
		}
		v := k.servers[at]
		v.seen = true
		if as != decide.Gone {
			v.addr, v.cell = to, cell
		}
		if started > 0 {
			started = math.Max(started-k.epoch, 0)
		}
		r.state(at, as, hall, weight, started)
	})
	if whole {
		for i, v := range k.servers {
			if !v.seen && v.state != decide.Gone {
				r.state(i, decide.Gone, 0, 0, 0)
			}
		}
	}
	return nil
}

// hold keeps frames from beginning at a server that wants nothing new: one that was given to the network, which
// has taken none of it, can only be taken back with its connection.
func (r *Router) hold(v *server) {
	for _, l := range append([]*lane(nil), v.lanes...) {
		if l.asked > l.written && l.frame >= l.written {
			r.dropLane(l)
		}
	}
}

// state tells the module of one server.
func (r *Router) state(at int, as decide.State, hall int, weight, started float64) {
	v := r.catalog.servers[at]
	if v.state == decide.Ready {
		r.catalog.ready--
	}
	if as == decide.Ready {
		r.catalog.ready++
	} else if v.state == decide.Ready {
		v.since = r.now
		since := r.now
		r.after(graceShare*r.rules.grace, func(r *Router) {
			if v.since == since && v.state != decide.Ready {
				r.hold(v)
			}
		})
	}
	v.state = as
	r.port.Server(at, hall, v.cell, as, weight, started)
}
