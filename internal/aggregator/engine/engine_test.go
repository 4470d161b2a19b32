package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/must"
	"kestrelspread/internal/transport"
)

const (
	facts = `{"balancers":1,"classes":[{"aim-ms":300,"deadline-ms":1000,"effect":"repeatable","importance":1,"name":"quick",
"late-value":0.3},{"aim-ms":300,"deadline-ms":1000,"effect":"once","importance":3,"name":"once"},
{"aim-ms":300,"deadline-ms":1000,"effect":"repeatable","importance":1,"name":"part"}],
"family-info":{"places":4,"span":2,"batch":2,"slabs":8,"class-need":[1,1,1],"class-floor":[1,1,0.3],
"incomplete-worth":[0,0,0.9],"follow-up":[0,0,0]},"discovery":"push","localities":["a","b"],
"limits":{"attempts-cap":4,"cancel":true,"parallel-tries":true,"connect-timeout-ms":100,"conn-idle-ms":2000,
"streams-per-conn":2,"most-held":60,"may-probe":true,"retry-after":true,"max-retry-after-ms":500},
"safety":{"answer-slack-ms":20,"drain-grace-ms":250},"report":{"fields":["active","cpu"],"via":"answers"},"zone":0}`
	slack = 20
)

// end is one connection as the other side has it.
type end struct {
	to       netip.AddrPort
	client   *caller
	open     bool
	watched  bool // the head of its list is out
	muted    bool
	finished bool
	sent     []byte // by the aggregator, not yet taken by the network
	got      []byte // taken, not yet read
	upTo     int64
	told     int64
	stuck    float64  // until then the network takes nothing
	began    float64  // when the frame that comes was begun
	waiting  []string // attempts a server holds
}

// caller is a client with its one search.
type caller struct {
	id      string
	late    float64 // when its answer is late
	shards  []int
	asked   bool
	answers int
	status  int
	at      float64 // when the last bytes for it were written
	gone    bool
	back    string // the time to come back
}

// world is the network and all who stand behind it. What happens is drawn from a seed.
type world struct {
	t       testing.TB
	r       *Engine
	pool    *transport.Pool
	rng     *rand.Rand
	now     float64
	ends    []*end
	freed   []transport.Conn
	armed   float64
	stopped bool
	deaf    bool // listens no more
	paused  bool
	callers []*caller
	byID    map[string]*caller
	version int
	list    []listed
	dying   []transport.Conn
	lines   []string // of calls, as servers read them
	least   int      // descriptors that are left for connecting; below 0 none fails
}

type listed struct {
	state string
	since float64
	cell  int
}

func newWorld(t testing.TB, seed uint64, servers int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1e6, pool: &transport.Pool{Size: 80 << 10, Most: 200},
		byID: map[string]*caller{}, least: -1}
	for i := range servers {
		w.list = append(w.list, listed{state: "ready", cell: i % 4})
	}
	set, err := settings.FromJSON([]byte(facts))
	if err != nil {
		t.Fatal(err)
	}
	w.r = New(w, w.pool, zerolog.New(io.Discard), set, seed, 200, w.listLine(true), netip.MustParseAddrPort("127.0.0.1:9"), 0)
	return w
}

func (w *world) listLine(whole bool) []byte {
	w.version++
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"generation":%d,"reset":%v,"instances":[`, w.version, whole)
	for i, s := range w.list {
		if whole && s.state == "gone" {
			continue
		}
		if b.Bytes()[b.Len()-1] == '}' {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"instanceId":"s%d","hostPort":"127.0.1.%d:80","zone":"a","cell":%d,"lifecycle":%q,"weight":1,"startedAtMs":0}`,
			i, i+1, s.cell, s.state)
	}
	b.WriteString("]}")
	return b.Bytes()
}

func (w *world) take(e *end) transport.Conn {
	if n := len(w.freed); n > 0 && w.rng.IntN(2) == 0 {
		c := w.freed[0]
		w.freed = w.freed[1:]
		w.ends[c] = e
		return c
	}
	w.ends = append(w.ends, e)
	return transport.Conn(len(w.ends) - 1)
}

func (w *world) Connect(to netip.AddrPort) transport.Conn {
	c := w.take(&end{to: to})
	if w.least >= 0 {
		w.dying = append(w.dying, c)
	}
	return c
}

func (w *world) Write(c transport.Conn, b []byte) {
	e := w.ends[c]
	if e == nil || !e.open || e.finished {
		w.t.Fatalf("written to connection %d, which is not open", c)
	}
	e.sent = append(e.sent, b...)
	if e.client != nil {
		e.client.at = w.now
	}
}

func (w *world) Finish(c transport.Conn) {
	e := w.ends[c]
	if e.finished = true; e.client != nil && e.client.asked && e.client.answers == 0 && len(e.sent) == 0 {
		w.t.Fatalf("search %s lost: its connection was ended", e.client.id)
	}
}
func (w *world) Reading(c transport.Conn, on bool) { w.ends[c].muted = !on }
func (w *world) Accept(on bool)                    { w.paused = !on }
func (w *world) Door(transport.Conn) int           { return 0 }
func (w *world) Unlisten() bool                    { w.deaf = true; return true }
func (w *world) Retract(c transport.Conn, from int64) bool {
	e := w.ends[c]
	if !e.open || e.finished || from < e.upTo {
		return false
	}
	e.sent = e.sent[:min(int64(len(e.sent)), from-e.upTo)]
	return true
}
func (w *world) Arm(at float64) { w.armed = at }
func (w *world) Stop()          { w.stopped = true }
func (w *world) Close(c transport.Conn) {
	e := w.ends[c]
	if e == nil {
		w.t.Fatalf("connection %d closed twice", c)
	}
	if e.client != nil && !e.client.gone && e.client.asked && e.client.answers == 0 {
		w.t.Fatalf("search %s lost: its connection was closed", e.client.id)
	}
	w.ends[c] = nil
	w.freed = append(w.freed, c)
}

// turn plays events in one turn, and those that must follow at once.
func (w *world) turn(events ...func()) {
	for first := true; first || w.r.turnRequested; first = false {
		w.r.Begin(w.now)
		if first {
			for _, e := range events {
				e()
			}
		}
		dying := w.dying
		w.dying = nil
		for _, c := range dying {
			if w.ends[c] != nil {
				w.lose(c)
			}
		}
		for c, e := range w.ends {
			if e != nil && e.told < e.upTo {
				e.told = e.upTo
				w.r.Written(transport.Conn(c), e.upTo)
			}
		}
		again := w.r.End()
		w.network()
		w.r.turnRequested = again || len(w.dying) > 0
	}
	w.check()
}

// network takes what was written, at times only some of it, and reads what has come whole.
func (w *world) network() {
	for c, e := range w.ends {
		if e == nil || len(e.sent) == 0 || w.now < e.stuck {
			continue
		}
		n := len(e.sent)
		if w.rng.IntN(10) == 0 {
			n = w.rng.IntN(n + 1)
		}
		if len(e.got) == 0 && n > 0 {
			e.began = w.now
		}
		e.got, e.sent = append(e.got, e.sent[:n]...), e.sent[n:]
		e.upTo += int64(n)
		switch {
		case e.client != nil:
			w.readAnswer(e)
		case e.to.Port() != 9:
			w.readFrames(transport.Conn(c), e)
		}
	}
}

func (w *world) readAnswer(e *end) {
	for {
		head, body, whole := bytes.Cut(e.got, []byte("\r\n\r\n"))
		if !whole {
			return
		}
		_, length, _ := bytes.Cut(head, []byte("Content-Length: "))
		length, _, _ = bytes.Cut(length, []byte("\r\n"))
		n, _ := strconv.Atoi(string(length))
		if len(body) < n {
			return
		}
		_, back, _ := bytes.Cut(head, []byte("Retry-After: "))
		back, _, _ = bytes.Cut(back, []byte("\r\n"))
		e.client.back = string(back)
		e.got = body[n:]
		status, _ := strconv.Atoi(string(head[9:12]))
		if status == 100 {
			continue
		}
		k := e.client
		k.answers++
		k.status = status
		if k.answers > 1 {
			w.t.Fatalf("search %s has a second answer", k.id)
		}
		if k.asked && k.at > k.late {
			w.t.Fatalf("search %s answered %d at %.0f, %.0f late", k.id, status, k.at, k.at-k.late)
		}
		if status == 200 {
			w.readValues(k, body[:n])
		}
	}
}

func (w *world) readValues(k *caller, body []byte) {
	var answer struct {
		All     bool `json:"all_in"`
		Matches []struct {
			Segment int
			Payload string
		}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		w.t.Fatal(err)
	}
	if answer.All != (len(answer.Matches) == len(k.shards)) || len(answer.Matches) == 0 {
		w.t.Fatalf("search %s: %s for %d parts", k.id, body, len(k.shards))
	}
	for _, m := range answer.Matches {
		if m.Payload != fmt.Sprintf("%s.%d", k.id, m.Segment) || !slices.Contains(k.shards, m.Segment) {
			w.t.Fatalf("search %s: %s", k.id, body)
		}
	}
}

func (w *world) readFrames(_ transport.Conn, e *end) {
	at := int(e.to.Addr().As4()[3]) - 1
	for len(e.got) >= 4 {
		n := int(binary.LittleEndian.Uint32(e.got)) + 4
		if len(e.got) < n {
			return
		}
		letter, rest := e.got[4], string(e.got[5:n])
		e.got = e.got[n:]
		if letter != 'R' && len(e.got) > 0 {
			e.began = w.now
		}
		switch letter {
		case 'A':
			if i := slices.Index(e.waiting, rest); i >= 0 && w.rng.IntN(3) > 0 {
				e.waiting = slices.Delete(e.waiting, i, i+1) // else the reply crosses it
			}
		case 'G', 'T':
			e.waiting = append(e.waiting, string(letter))
		case 'R':
			w.readCall(e, at, rest)
		default:
			w.t.Fatalf("frame %c", letter)
		}
	}
}

func (w *world) readCall(e *end, at int, rest string) {
	parts := 0
	for ; rest != ""; parts++ {
		var id string
		var shard, wait, size int
		line, after, _ := strings.Cut(rest, "\n")
		w.lines = append(w.lines, line)
		plain, token, found := strings.Cut(line, ",k=")
		if found {
			_, length, _ := strings.Cut(token, " ")
			plain += " " + length
		}
		if n, err := fmt.Sscanf(plain, "%s %d d=%d %d", &id, &shard, &wait, &size); n != 4 || len(after) < size {
			w.t.Fatal(line, err)
		}
		text := after[:size]
		rest = after[size:]
		search, _, _ := strings.Cut(id, ".")
		k := w.byID[search]
		s := w.list[at]
		switch {
		case k == nil || !slices.Contains(k.shards, shard) || text != "text of "+k.id:
			w.t.Fatalf("nobody asked for %s, %q", line, text)
		case ((s.cell-shard)%4+4)%4 >= 2:
			w.t.Fatalf("server %d of cell %d does not hold shard %d", at, s.cell, shard)
		case s.state != "ready" && e.began > s.since+250:
			w.t.Fatalf("sent to server %d, %s for %.0f ms", at, s.state, e.began-s.since)
		case slices.Contains(e.waiting, id):
			w.t.Fatalf("%s is on one connection twice", id)
		}
		e.waiting = append(e.waiting, id)
	}
	if parts == 0 || parts > 2 {
		w.t.Fatalf("a call of %d parts", parts)
	}
}

func (w *world) lose(c transport.Conn) {
	e := w.ends[c]
	w.ends[c] = nil
	if e.client != nil {
		e.client.gone = true
	}
	w.r.Closed(c, e.upTo)
	w.freed = append(w.freed, c)
}

// say has the other side send bytes, in pieces.
func (w *world) say(c transport.Conn, b []byte) {
	for len(b) > 0 && w.ends[c] != nil && !w.ends[c].finished {
		n := len(b)
		if w.rng.IntN(3) == 0 {
			n = 1 + w.rng.IntN(n)
		}
		w.r.Bytes(c, slices.Clone(b[:n]), w.now)
		b = b[n:]
	}
}

func (w *world) frame(c transport.Conn, letter byte, rest string) {
	w.say(c, append(binary.LittleEndian.AppendUint32(nil, uint32(1+len(rest))), append([]byte{letter}, rest...)...))
}

func (w *world) ask(kind string, budget float64, shards ...int) *caller {
	k := &caller{id: fmt.Sprint("q", len(w.callers)), shards: shards, late: w.now + budget + slack}
	w.callers = append(w.callers, k)
	w.byID[k.id] = k
	c := w.take(&end{client: k, open: true})
	w.r.Accepted(c)
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"segment":%d,"boost":%g}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"text of %s"}`, strings.Join(parts, ","), k.id)
	k.asked = true
	w.say(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %g\r\n"+
		"Content-Length: %d\r\n\r\n%s", k.id, kind, budget, len(body), body)))
	return k
}

// check holds after every turn.
func (w *world) check() {
	for _, k := range w.callers {
		if !k.gone && k.answers == 0 && w.now > k.late {
			held := 0
			for _, e := range w.ends {
				if e != nil && e.client == k {
					held = len(e.sent)
				}
			}
			if held == 0 {
				w.t.Fatalf("search %s has no answer %.0f ms past its time", k.id, w.now-k.late)
			}
		}
	}
	if must.Broken() > 0 {
		w.t.Fatal("something that must hold does not")
	}
}

// serve has one random thing happen on a connection.
func (w *world) serve(c transport.Conn, e *end, ill int) {
	switch {
	case e.client != nil:
		if e.finished && len(e.sent) == 0 || w.rng.IntN(200) < ill {
			w.lose(c)
		}
	case !e.open:
		if w.rng.IntN(60) < ill {
			w.lose(c)
		} else if w.rng.IntN(3) > 0 {
			e.open = true
			w.r.Opened(c)
		}
	case e.to.Port() == 9:
		if len(e.got) > 0 {
			e.got, e.watched = nil, true
			w.say(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			w.news(c, true)
		} else if w.rng.IntN(100) < ill {
			w.lose(c)
		} else if e.watched && w.rng.IntN(4) == 0 {
			w.say(c, []byte("1\r\n\n\r\n"))
		}
	case w.rng.IntN(200) < ill:
		w.lose(c)
	case w.rng.IntN(300) < ill:
		e.stuck = w.now + float64(w.rng.IntN(600))
	case w.rng.IntN(400) < ill:
		w.frame(c, 'N', "what?")
		if w.ends[c] == e {
			w.t.Fatal("a connection that refused a frame is kept")
		}
	case len(e.waiting) > 0 && w.rng.IntN(3) > 0:
		i := w.rng.IntN(len(e.waiting))
		id := e.waiting[i]
		e.waiting = slices.Delete(e.waiting, i, i+1)
		switch {
		case id == "G" || id == "T":
			w.frame(c, id[0], "inflight=3,util=0.5")
		case w.rng.IntN(60) < ill:
			w.frame(c, 'Y', id+" ERROR 0 -\n")
		case w.rng.IntN(60) < ill:
			w.frame(c, 'Y', id+" REJECTED 0 -\n")
		default:
			w.frame(c, 'Y', id+" OK 5 inflight=3,util=0.5\n"+id)
		}
	}
}

func (w *world) news(c transport.Conn, whole bool) {
	line := append(w.listLine(whole), '\n')
	w.say(c, []byte(fmt.Sprintf("%x\r\n%s\r\n", len(line), line)))
}

func FuzzRouter(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed, uint8(seed%4))
	}
	f.Fuzz(func(t *testing.T, seed uint64, ill uint8) {
		w := newWorld(t, seed, 8)
		b := &book{by: map[Result]int64{}}
		w.r.SetMeter(b)
		bad := int(ill % 8)
		w.turn()
		for step := range 1500 {
			if next := w.now + w.rng.ExpFloat64()*8; w.armed > w.now {
				w.now = min(next, w.armed)
			} else {
				w.now = next
			}
			if w.rng.IntN(400) < bad {
				w.now += 300 // it stood still
				for _, k := range w.callers {
					k.late += 300
				}
			}
			var events []func()
			if step < 1200 && w.rng.IntN(4) == 0 && !w.deaf && !w.paused {
				shards := w.rng.Perm(8)[:1+w.rng.IntN(5)]
				kind := []string{"quick", "once", "part"}[w.rng.IntN(3)]
				events = append(events, func() { w.ask(kind, float64(50+w.rng.IntN(900)), shards...) })
			}
			if w.rng.IntN(100) < bad {
				w.least = min(w.rng.IntN(8)-7, 0) // at times no connection can be had
			}
			if i := w.rng.IntN(len(w.list)); w.rng.IntN(200) < bad {
				s := &w.list[i]
				states := []string{"ready", "draining", "ready", "gone", "ready"}
				was := s.state
				if s.state = states[w.rng.IntN(5)]; was == "ready" && s.state != was {
					s.since = w.now + 1e9 // until it is told
				}
			}
			for c, e := range w.ends {
				if e == nil || w.rng.IntN(3) > 0 {
					continue
				}
				events = append(events, func() {
					if w.ends[c] == e {
						w.serve(transport.Conn(c), e, bad)
					}
				})
				if e.to.Port() == 9 && e.watched && w.rng.IntN(5) == 0 {
					events = append(events, func() {
						if w.ends[c] != e {
							return
						}
						w.news(transport.Conn(c), w.rng.IntN(4) == 0)
						for i := range w.list {
							if w.list[i].since > w.now {
								w.list[i].since = w.now
							}
						}
					})
				}
			}
			w.turn(events...)
		}
		w.settle()
		b.reconcile(t, &w.r.Count)
	})
}

// settle lets all come to its end, after which nothing may be left.
func (w *world) settle() {
	w.least = -1
	w.turn(func() { w.r.Told(Terminate) })
	for range 4000 {
		if w.stopped {
			break
		}
		w.now += 5
		var events []func()
		for c, e := range w.ends {
			if e != nil {
				events = append(events, func() {
					if w.ends[c] == e {
						w.serve(transport.Conn(c), e, 0)
					}
				})
			}
		}
		w.turn(events...)
	}
	r := w.r
	if !w.stopped || r.clients != 0 || r.openSearches != 0 || r.pending != 0 {
		w.t.Fatalf("stopped %v, %d clients, %d searches, %d held", w.stopped, r.clients, r.openSearches, r.pending)
	}
	if len(r.freeEntries) != len(r.entries) || w.pool.Out() != 0 {
		w.t.Fatalf("%d of %d indices free, %d buffers out", len(r.freeEntries), len(r.entries), w.pool.Out())
	}
	open := 0
	for _, e := range w.ends {
		if e != nil {
			open++
		}
	}
	if open != r.sockets {
		w.t.Fatalf("%d sockets counted, %d open", r.sockets, open)
	}
}

// open brings up every connection that is being opened, and answers the watch.
func (w *world) open() {
	var events []func()
	for c, e := range w.ends {
		if e != nil && !e.open {
			events = append(events, func() { e.open = true; w.r.Opened(transport.Conn(c)) })
		}
	}
	w.turn(events...)
	w.turn(func() {
		for c, e := range w.ends {
			if e != nil && e.to.Port() == 9 && !e.watched {
				e.watched, e.got = true, nil
				w.say(transport.Conn(c), []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			}
		}
	})
}

// lane gives the connections to servers.
func (w *world) lanes() (list []transport.Conn) {
	for c, e := range w.ends {
		if e != nil && e.client == nil && e.to.Port() != 9 {
			list = append(list, transport.Conn(c))
		}
	}
	return list
}

func (w *world) answer(c transport.Conn) {
	e := w.ends[c]
	waiting := e.waiting
	e.waiting = nil
	w.turn(func() {
		for _, id := range waiting {
			w.frame(c, 'Y', id+" OK 5 -\n"+id)
		}
	})
}

// answered has servers answer until a client has what it waits for; the network takes some of it at a time.
func (w *world) answered(k *caller) {
	for i := 0; i < 30 && k.answers == 0; i++ {
		w.open()
		for _, c := range w.lanes() {
			if e := w.ends[c]; e != nil && e.open {
				w.answer(c)
			}
		}
		w.now++
	}
}

func TestFrameNotBegunIsTakenBackFromADrainedServer(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	w.open()
	c := w.lanes()[0]
	w.answer(c)
	e := w.ends[c]
	e.stuck = w.now + 1000
	w.turn(func() { w.ask("quick", 900, 0) })
	if len(e.sent) == 0 {
		t.Fatal("no second frame")
	}
	w.now += 10
	w.list[0] = listed{"draining", w.now, 0}
	w.turn(func() {
		for c, e := range w.ends {
			if e != nil && e.watched {
				w.news(transport.Conn(c), false)
			}
		}
	})
	for len(e.sent) > 0 && w.now < w.list[0].since+250 {
		w.now += 10
		w.turn()
	}
	if len(e.sent) > 0 || w.r.Count.Retracted != 1 {
		t.Error("the frame may still begin past the grace")
	}
	if w.ends[c] != e {
		t.Error("the connection was dropped for it, with all that is out there")
	}
}

func TestIdsMeetOnNoConnection(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	w.open()
	first := w.callers[0]
	var twin *caller
	w.turn(func() { // another client with the same id, asking for the same
		w.callers, w.byID = nil, map[string]*caller{}
		twin = w.ask("quick", 900, 0)
	})
	if twin.answers != 1 || twin.status != 409 || len(w.lanes()) != 1 {
		t.Errorf("%d answers, %d, to an id that is open", twin.answers, twin.status)
	}
	w.answered(first)
	if first.answers != 1 || first.status != 200 {
		t.Error("the first search has no answer")
	}
	w.turn(func() { // it is over: the id is free
		w.callers, w.byID = nil, map[string]*caller{}
		w.ask("quick", 900, 0)
	})
	w.answered(w.callers[0])
	if w.callers[0].status != 200 || len(w.r.searchByID) != 0 {
		t.Error(w.callers[0].status, len(w.r.searchByID))
	}
}

func TestOlderListsChangeNothingUnlessDiscoveryInsists(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	say := func(line string) {
		w.turn(func() {
			for c, e := range w.ends {
				if e != nil && e.watched {
					w.say(transport.Conn(c), []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)))
					return
				}
			}
		})
	}
	entry := func(version int, reset bool, state string) string {
		return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80","zone":"a","cell":0,`+
			`"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, reset, state)
	}
	ready := func(want int, why string) {
		t.Helper()
		if w.r.list.ready != want {
			t.Errorf("%s: %d ready, want %d", why, w.r.list.ready, want)
		}
	}
	say(entry(9, false, "draining"))
	ready(1, "a change")
	say(entry(8, false, "ready"))
	ready(1, "an older change")
	again := func() {
		w.turn(func() {
			for c, e := range w.ends {
				if e != nil && e.watched {
					w.lose(transport.Conn(c))
				}
			}
		})
		w.now += maxWatchBackoff
		w.turn()
		w.open()
	}
	again()
	say(entry(3, true, "ready"))
	ready(1, "an older whole list")
	if w.r.list.watch != nil {
		t.Error("its watch is kept")
	}
	w.now += maxWatchBackoff
	w.turn()
	w.open()
	say(entry(3, true, "ready"))
	ready(1, "the same again")
	if w.r.list.version != 9 {
		t.Error("an older list was taken")
	}
	w.now += olderListTimeout
	w.turn()
	w.open()
	say(entry(3, true, "ready"))
	ready(1, "the same for long: s1 is gone, s0 is back")
	if w.r.list.version != 3 {
		t.Error("discovery counts anew, at ", w.r.list.version)
	}
	say("{broken")
	ready(1, "a broken line")
	if w.r.Count.BadLists == 0 || w.r.list.watch != nil {
		t.Error("a broken line keeps its watch")
	}
}

func TestAnswerOverItsBoundIsErrored(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0, 1) })
	w.open()
	k := w.callers[0]
	for _, c := range w.lanes() {
		for _, id := range w.ends[c].waiting {
			w.turn(func() { w.frame(c, 'Y', id+" OK 5 -\n"+strings.Repeat("x", 40<<10)) })
		}
	}
	if k.answers != 1 || k.status != 500 {
		t.Errorf("%d answers, the last %d, want one 500", k.answers, k.status)
	}
}

func TestAFailureErrorsWhatItConcerns(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	fails := func(c transport.Conn) {
		defer func() {
			if what := recover(); (what != nil) != must.Debug {
				t.Errorf("recovered %v", what)
			}
		}()
		w.turn(func() { w.r.Panicked(c, "a defect", nil) })
	}
	ask := func() *caller {
		var k *caller
		w.turn(func() { k = w.ask("quick", 900, 0) })
		w.open()
		return k
	}
	of := func(k *caller) transport.Conn {
		return transport.Conn(slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k }))
	}
	first, second, third := ask(), ask(), ask()
	fails(of(first))
	fails(w.lanes()[0])
	fails(noConn)
	if must.Debug {
		return
	}
	for _, k := range []*caller{first, second, third} {
		if k.answers != 1 || k.status != 500 && k.status != 503 && k.status != 200 {
			t.Errorf("search %s: %d answers, %d", k.id, k.answers, k.status)
		}
	}
	if first.status != 500 || third.status != 500 || w.r.openSearches != 0 {
		t.Error(first.status, third.status, w.r.openSearches)
	}
	w.settle()
}

func TestPausesDoNotAddUp(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	before := len(w.r.timers)
	for range 50 {
		w.turn(w.r.AcceptFailed)
		if !w.paused {
			t.Fatal("accepting goes on without descriptors")
		}
		w.turn(w.r.resumeAccepting)
	}
	if n := len(w.r.timers) - before; n > 1 {
		t.Errorf("%d timers wait", n)
	}
}

// watching gives the connection to discovery, or none.
func (w *world) watching() transport.Conn {
	for c, e := range w.ends {
		if e != nil && e.client == nil && e.to.Port() == 9 {
			return transport.Conn(c)
		}
	}
	return noConn
}

// pass lets time go by in turns as the timer asks for them.
func (w *world) pass(ms float64) {
	for end := w.now + ms; w.now < end; {
		if w.armed > w.now && w.armed < end {
			w.now = w.armed
		} else {
			w.now = end
		}
		w.turn()
	}
}

func TestSilentWatchIsOpenedAnew(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	c := w.watching()
	first := w.ends[c]
	for range 4 {
		w.pass(heartbeatInterval)
		w.turn(func() { w.say(c, []byte("1\r\n\n\r\n")) })
	}
	if w.ends[c] != first {
		t.Fatal("a watch that beats was given up")
	}
	w.pass(heartbeatTimeout + maxWatchBackoff + 1)
	if c := w.watching(); c == noConn || w.ends[c] == first || w.r.Count.WatchesLost != 1 {
		t.Error("a silent watch was not opened anew")
	}
	if w.r.list.ready != 2 {
		t.Error("its list was not kept")
	}
}

func TestIdleConnectionsAreClosedInTimeAndNoOthers(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	ask := func() {
		w.turn(func() { w.ask("once", 5000, 0) })
		w.open()
	}
	ask()
	c := w.lanes()[0]
	w.pass(2500) // the settings say 2000
	if len(w.lanes()) != 1 {
		t.Fatal("a connection with a part out was closed for being idle")
	}
	w.answer(c)
	used := w.now
	for len(w.lanes()) > 0 {
		if w.pass(10); w.now >= used+2000 {
			t.Fatal("an idle connection is open past its time")
		}
	}
	if w.now < used+1000 {
		t.Errorf("closed after %.0f ms", w.now-used)
	}
}

func TestHalfARequestDoesNotKeepABrokerFromStopping(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	half := &end{client: &caller{id: "half"}, open: true}
	c := w.take(half)
	w.turn(func() {
		w.r.Accepted(c)
		w.say(c, []byte("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc"))
		w.r.Told(Terminate)
	})
	w.pass(serveShareAfterStop*(1000+killMargin) + 1)
	if w.ends[c] != half || half.finished || !w.deaf {
		t.Error("it was cut off before its time, or the address is open")
	}
	w.pass(maxRequestAfterClose + lingerTimeout + 1)
	if !w.stopped || w.pool.Out() != 0 {
		t.Error("it did not stop")
	}
}

func TestClientsThatStandStillAreLetGo(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	half := &end{client: &caller{id: "half"}, open: true}
	at := w.take(half)
	w.turn(func() {
		w.r.Accepted(at)
		w.say(at, []byte("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc"))
	})
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.open()
	reader := slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k })
	w.ends[reader].stuck, k.gone = w.now+1e9, true
	w.answer(w.lanes()[0])
	if len(w.ends[reader].sent) == 0 {
		t.Fatal("no answer waits")
	}
	w.pass(requestTimeout - 100)
	if half.client.answers != 0 || w.ends[reader] == nil {
		t.Error("let go of too soon")
	}
	w.pass(200)
	if half.client.status != 408 {
		t.Error("half a request is waited for, ", half.client.status)
	}
	w.pass(writeTimeout + lingerTimeout)
	if w.ends[reader] != nil || w.r.Count.WriteTimeouts != 1 || w.r.clients != 0 || w.pool.Out() != 0 {
		t.Error(w.r.Count.WriteTimeouts, w.r.clients, w.pool.Out())
	}
}

func TestDiscoveryMoves(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.turn()
	w.open()
	at := func(ip string) transport.Conn {
		for c, e := range w.ends {
			if e != nil && e.to == netip.MustParseAddrPort(ip+":9") {
				return transport.Conn(c)
			}
		}
		return noConn
	}
	move := func(ip string) {
		to := netip.MustParseAddrPort(ip + ":9")
		w.r.Discovery.Store(&to)
		w.turn(func() { w.r.Told(MoveDiscovery) })
	}
	say := func(ip, state string, version int, whole bool) {
		t.Helper()
		line := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[{"instanceId":"s0","hostPort":"127.0.1.1:80",`+
			`"zone":"a","cell":0,"lifecycle":%q,"weight":1,"startedAtMs":0}]}`, version, whole, state)
		w.turn(func() { w.say(at(ip), []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line))) })
	}
	ready := func(want int, why string) {
		t.Helper()
		if w.r.list.ready != want {
			t.Errorf("%s: %d ready, want %d", why, w.r.list.ready, want)
		}
	}
	say("127.0.0.1", "ready", 50, false)
	move("127.0.0.2")
	if at("127.0.0.1") == noConn || at("127.0.0.2") == noConn {
		t.Fatal("both addresses are to be heard until the new one has told its list")
	}
	say("127.0.0.1", "draining", 51, false)
	ready(1, "a drain told by the old address")
	move("127.0.0.3") // before the second has said anything
	if at("127.0.0.2") != noConn || at("127.0.0.1") == noConn {
		t.Error("the one that has told a list is to be kept, the other not")
	}
	w.turn(func() { w.lose(at("127.0.0.1")) })
	ready(1, "the old address closes")
	w.turn(func() { w.lose(at("127.0.0.3")) })
	ready(1, "the new one refuses")
	w.pass(maxWatchBackoff + 1)
	w.open()
	if got := string(w.ends[at("127.0.0.3")].sent) + string(w.ends[at("127.0.0.3")].got); strings.Contains(got, "after=5") {
		t.Error("a version of another address is asked for: ", got)
	}
	say("127.0.0.3", "ready", 3, true)
	ready(1, "s0 is back and s1 gone, by the new address's versions")
	if w.r.list.version != 3 || w.r.Count.WatchesLost != 1 {
		t.Error(w.r.list.version, w.r.Count.WatchesLost)
	}
	say("127.0.0.3", "draining", 2, false)
	ready(1, "there too an older change is none")
	w.settle()
}

func TestAStoppedBrokerServesWhoIsConnectedAndEndsInTime(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.open()
	w.answer(w.lanes()[0])
	c := transport.Conn(slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k }))
	w.turn(func() { w.r.Told(Terminate) })
	began, grace := w.now, 1000.+killMargin
	again := func(budget float64) *caller {
		next := &caller{id: fmt.Sprint("again", len(w.callers)), shards: []int{0}, late: w.now + budget + slack, asked: true}
		w.byID[next.id], w.ends[c].client, w.callers = next, next, append(w.callers, next)
		body := fmt.Sprintf(`{"segments":[{"segment":0,"boost":1}],"text":"text of %s"}`, next.id)
		w.turn(func() {
			w.say(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: quick\r\nX-Budget-Ms: %g\r\n"+
				"Content-Length: %d\r\n\r\n%s", next.id, budget, len(body), body)))
		})
		return next
	}
	for w.now < began+serveShareAfterStop*grace-50 {
		k := again(900)
		w.answered(k)
		if k.status != 200 || w.ends[c] == nil || w.ends[c].finished || w.deaf {
			t.Fatalf("%.0f ms after the stop: answered %d, or its connection or the address is closed", w.now-began, k.status)
		}
		w.pass(100)
	}
	held := again(1000) // its servers say nothing
	w.pass(began + grace - answerBeforeKill - w.now)
	if held.answers != 1 || held.status == 200 {
		t.Errorf("%d answers, %d: the last search is to be ended before the kill", held.answers, held.status)
	}
	w.settle()
	if w.now > began+grace {
		t.Errorf("it ended %.0f ms after it may be killed", w.now-began-grace)
	}
}

// come has clients connect that say something, or nothing.
func (w *world) come(n int, says string) (list []transport.Conn) {
	w.turn(func() {
		for i := 0; i < n && !w.paused; i++ {
			c := w.take(&end{client: &caller{id: "some"}, open: true})
			list = append(list, c)
			w.r.Accepted(c)
			w.say(c, []byte(says))
		}
	})
	return list
}

func TestSilentClientsAreLetGoAndMakeRoom(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	silent := w.come(1000, "")
	if len(silent) >= 200 || !w.paused {
		t.Fatal(len(silent), "taken with 200 descriptors")
	}
	w.pass(minSilenceBeforeEvict + acceptRetryDelay + 1)
	if w.paused || w.r.outOfDescriptors {
		t.Error("who has said nothing makes no room")
	}
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.answered(k)
	if k.status != 200 {
		t.Error("a client among silent ones: ", k.status)
	}
	w.pass(firstRequestTimeout + 1)
	if w.r.clients != 1 {
		t.Error(w.r.clients, "clients, want the one that asked")
	}
	w.pass(clientIdleTimeout + 1)
	if w.r.clients != 0 || w.r.Count.Idle != 1 {
		t.Error("an idle connection is kept for good")
	}
	w.settle()
}

func TestHalfRequestsLeaveRoomForWholeOnes(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.pool.Most = 20
	w.turn()
	w.open()
	w.come(100, "POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc")
	if w.pool.Out() != 10 || w.r.Count.NoBuffer != 90 {
		t.Errorf("%d buffers of 20 held by half requests, %d refused", w.pool.Out(), w.r.Count.NoBuffer)
	}
	var k *caller
	w.turn(func() {
		k = &caller{id: "whole", shards: []int{0}, late: w.now + 900 + slack, asked: true}
		w.byID[k.id] = k
		c := w.take(&end{client: k, open: true})
		w.r.Accepted(c)
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of whole"}`
		w.r.Bytes(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: whole\r\nX-Call-Class: quick\r\n"+
			"X-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s", len(body), body)), w.now)
	})
	w.answered(k)
	if k.status != 200 {
		t.Error("a whole request among half ones: ", k.status)
	}
	w.pass(requestTimeout + maxLinger)
	if w.pool.Out() != 0 || w.r.partialBuffers != 0 {
		t.Error(w.pool.Out(), w.r.partialBuffers)
	}
}

func TestWhoIsTurnedAwayMayFinishSending(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	c := w.come(1, "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")[0]
	e := w.ends[c]
	if e.client.status != 413 || !e.finished {
		t.Fatal(e.client.status)
	}
	for range 4 {
		w.pass(lingerTimeout - 100)
		if w.ends[c] != e {
			t.Fatal("closed under a client that is sending: its answer is lost to a reset")
		}
		w.turn(func() { w.r.Bytes(c, nil, w.now) })
	}
	w.pass(lingerTimeout + 1)
	if w.ends[c] == e {
		t.Error("a client that does not close is kept")
	}
}

func TestTimersGoWithWhatTheyAreFor(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	for range 200 {
		w.turn(func() { w.ask("quick", 900, 0, 1, 2) })
		w.open()
		for _, c := range w.lanes() {
			w.answer(c)
		}
		for c, e := range w.ends {
			if e != nil && e.client != nil {
				w.turn(func() { w.lose(transport.Conn(c)) })
			}
		}
		w.now++
	}
	if n := len(w.r.timers); n > 30 || len(w.r.searchByID) != 0 {
		t.Errorf("%d timers and %d open ids are left of 200 searches", n, len(w.r.searchByID))
	}
}

func FuzzTimers(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng, heap := rand.New(rand.NewPCG(seed, 1)), timers{}
		var all []*timer
		for range 300 {
			switch rng.IntN(3) {
			case 0:
				if len(all) > 0 {
					i := rng.IntN(len(all))
					heap.drop(all[i])
					heap.drop(all[i])
					all = slices.Delete(all, i, i+1)
				}
			default:
				all = append(all, heap.add(float64(rng.IntN(50)), nil))
			}
		}
		slices.SortFunc(all, func(a, b *timer) int { return int(a.at - b.at) })
		for i, want := range all {
			if got := heap.take(); got.at != want.at || got.heapIndex >= 0 {
				t.Fatalf("timer %d at %v, want %v", i, got.at, want.at)
			}
		}
		if len(heap) != 0 {
			t.Error(len(heap), "are left")
		}
	})
}

func TestSpoiltRepliesCostWhatTheyMust(t *testing.T) {
	const good = "%s OK 5 -\n%s"
	for name, spoil := range map[string]struct {
		reply  string
		taken  bool // the value counts
		stands bool // and so does the connection
	}{
		"a report that can't be read": {"%s OK 5 inflight=x,=\n%s", true, true},
		"a value of noise":            {"%s OK 5 -\n%s\x00\xff", false, false},
		"an unknown end":              {"%s FINE 5 -\n%s", false, false},
		"no score":                    {"%s OK x -\n%s", false, false},
		"an unknown id":               {"z%s OK 5 -\n%s", false, false},
		"no line":                     {"%s OK 5 - %s", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			w.turn()
			w.open()
			var k *caller
			w.turn(func() { k = w.ask("quick", 900, 0) })
			w.open()
			c := w.lanes()[0]
			e := w.ends[c]
			id := e.waiting[0]
			e.waiting = nil
			w.turn(func() { w.frame(c, 'Y', fmt.Sprintf(spoil.reply, id, id)) })
			if got := k.status == 200; got != spoil.taken {
				t.Errorf("answered %d", k.status)
			}
			if got := w.ends[c] == e; got != spoil.stands {
				t.Errorf("its connection stands: %v", got)
			}
			w.answered(k) // by another holder, where it is not taken
			if k.status != 200 || k.answers != 1 {
				t.Errorf("%d answers, %d", k.answers, k.status)
			}
		})
	}
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	var k *caller
	w.turn(func() { k = w.ask("quick", 900, 0) })
	w.open()
	c, id := w.lanes()[0], w.callers[0].id+".0"
	w.turn(func() { w.frame(c, 'Y', fmt.Sprintf(good, id, id)+""); w.say(c, []byte("\xff\xff\xff\xffnoise")) })
	if k.status != 200 || w.ends[c] != nil {
		t.Error("a good reply with noise behind it: ", k.status)
	}
}

func TestWhatNeverBeganGoesOverAnotherConnection(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	var first, second *caller
	w.turn(func() { first = w.ask("once", 900, 0) })
	w.open()
	c := w.lanes()[0]
	e := w.ends[c]
	e.stuck = w.now + 1e9
	w.turn(func() { second = w.ask("once", 900, 0) }) // given to the network, which takes none of it
	w.turn(func() { w.say(c, []byte("\xff\xff\xff\xff")) })
	if first.status != 500 {
		t.Errorf("what may have run: %d", first.status)
	}
	w.open()
	if len(w.lanes()) != 1 || second.answers != 0 {
		t.Fatal(len(w.lanes()), second.status)
	}
	w.answered(second)
	if second.status != 200 || w.r.Count.Moved != 1 || w.r.Count.Outcomes[policy.ConnectFailed] != 0 {
		t.Errorf("what never began: %d, %d moved", second.status, w.r.Count.Moved)
	}
}

func TestGenerationsOfServersLeaveNothingBehind(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	c, version := w.watching(), 100
	most := 0
	for n := range 120 {
		// A server goes, with a part out or without, and another comes under a new id; searches go on.
		version++
		line := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"x%d","hostPort":"127.0.1.%d:80",`+
			`"zone":"a","cell":%d,"lifecycle":"ready","weight":1,"startedAtMs":0},{"instanceId":"x%d","lifecycle":"gone"}]}`,
			version, n, n%4+1, n%4, n-4)
		var k *caller
		w.turn(func() { k = w.ask("quick", 900, n%8, (n+3)%8) })
		w.turn(func() { w.say(c, []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line))) })
		if n%3 > 0 {
			w.answered(k)
		}
		for range 5 {
			w.pass(heartbeatInterval / 2)
			w.turn(func() { w.say(c, []byte("1\r\n\n\r\n")) })
		}
		most = max(most, len(w.r.list.servers))
	}
	k := &w.r.list
	if live := len(k.indexOf); live > 8+serverRetention/(2.5*heartbeatInterval)+2 || most > 30 || len(k.servers) != live+len(k.freeIndices) {
		t.Errorf("%d servers known, %d places for them, %d free, after 120 generations", live, len(k.servers), len(k.freeIndices))
	}
	if n := len(w.r.timers); n > 60 || len(w.r.entries) > 60 {
		t.Errorf("%d timers wait, %d searches and parts have places", n, len(w.r.entries))
	}
	for id, at := range k.indexOf {
		if v := k.servers[at]; v == nil || v.id != id {
			t.Errorf("index %d is not %s's", at, id)
		}
	}
}

func TestTheHoldLimitNamesATimeToComeBack(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	var k *caller
	for range 8 {
		w.turn(func() { k = w.ask("once", 900, 0, 1, 2, 3, 4, 5, 6, 7) })
	}
	back, err := strconv.ParseFloat(k.back, 64) // round a quarter of the target, by chance
	if w.r.Count.OverPending != 1 || k.status != 503 || err != nil || back < 0.037 || back > 0.113 {
		t.Errorf("%d over the limit, the last got %d, back in %q", w.r.Count.OverPending, k.status, k.back)
	}
}

func TestAFrameThatDoesNotEndIsNotWaitedFor(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	var first, second *caller
	w.turn(func() { first = w.ask("quick", 900, 0) })
	w.open()
	c := w.lanes()[0]
	e := w.ends[c]
	reply := "Y" + e.waiting[0] + " OK 5 -\n" + e.waiting[0]
	e.waiting = nil
	w.turn(func() { w.say(c, append(binary.LittleEndian.AppendUint32(nil, uint32(len(reply)+40)), reply...)) })
	w.turn(func() { second = w.ask("quick", 900, 0) })
	w.open()
	if len(e.waiting) > 0 {
		t.Error("more is sent where nothing will be answered")
	}
	w.pass(frameTimeout + 1)
	if w.ends[c] == e || w.r.Count.BadFrames != 1 {
		t.Error("its connection is kept")
	}
	w.answered(first)
	w.answered(second)
	if first.status != 200 || second.status != 200 {
		t.Error(first.status, second.status)
	}
	var third *caller // one that comes in two pieces, some time apart, is whole
	w.turn(func() { third = w.ask("quick", 900, 0) })
	w.open()
	for _, c := range w.lanes() {
		if e := w.ends[c]; len(e.waiting) > 0 {
			frame := "Y" + e.waiting[0] + " OK 5 -\n" + e.waiting[0]
			e.waiting = nil
			all := append(binary.LittleEndian.AppendUint32(nil, uint32(len(frame))), frame...)
			w.turn(func() { w.say(c, all[:9]) })
			w.pass(frameTimeout / 2)
			w.turn(func() { w.say(c, all[9:]) })
			w.pass(frameTimeout)
			if w.ends[c] != e {
				t.Error("a connection with a whole frame is dropped")
			}
		}
	}
	if third.status != 200 {
		t.Error(third.status)
	}
}

func TestWhatMayNotBeginLateDoesNot(t *testing.T) {
	// The way to the server takes longer than a tokened part's window leaves: it must not begin there any more.
	w := newWorld(t, 1, 1)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0) })
	for _, s := range w.r.entries {
		if s.request != nil && len(s.request.attempts) > 0 {
			s.request.attempts[0].beginDeadline = w.now + 5
		}
	}
	w.pass(20)
	w.open()
	w.pass(1)
	if w.r.Count.Sent != 0 || w.r.Count.Outcomes[policy.NeverSent] == 0 {
		t.Errorf("%d sent, outcomes %v", w.r.Count.Sent, w.r.Count.Outcomes)
	}
}

// book adds up what a meter is told.
type book struct {
	searches, subs int64
	by             map[Result]int64
	left           int64
}

func (b *book) Record(u *Usage) {
	b.searches++
	b.subs += int64(u.First + u.Retry + u.Hedge)
	if u.ClientLeft {
		b.left++
	} else {
		b.by[u.Result]++
	}
	if u.Server < 0 || u.First > u.Shards || u.AnsweredAt <= 0 {
		panic("a use that can't be")
	}
}

// reconcile: what was metered is what was counted.
func (b *book) reconcile(t *testing.T, c *Counters) {
	t.Helper()
	if c.Searches == 0 || b.searches != c.Searches || b.subs != c.AttemptsAsked || b.left != c.ClientsLeft || b.by[Complete] != c.Complete ||
		b.by[Partial] != c.Partial || b.by[Shed] != c.Shed+c.OverPending || b.by[Failed] != c.Errored+c.TooLong {
		t.Fatalf("metered %+v, counted %+v", b, *c)
	}
}

// marks hears which searches the policy is told of as retries.
type marks struct {
	policy.Port
	again int
}

func (m *marks) MarkRetry(int) { m.again++ }

func TestAMarkedRetryIsTold(t *testing.T) {
	w := newWorld(t, 1, 4)
	m := &marks{Port: w.r.Policy()}
	w.r.ReplacePolicy(func(policy.Out) policy.Port { return m })
	w.turn()
	w.open()
	for i, mark := range []string{"", "X-Again: 1\r\n", "X-Again: 0\r\n", "X-Again: 1\r\nX-Again: 1\r\n"} {
		k := &caller{id: fmt.Sprint("again", i), late: w.now + 950}
		c := w.take(&end{client: k, open: true})
		w.turn(func() {
			w.r.Accepted(c)
			body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
			w.say(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: quick\r\n%sX-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s",
				k.id, mark, len(body), body)))
		})
	}
	if m.again != 1 {
		t.Errorf("%d of four searches were told as retries", m.again)
	}
}
