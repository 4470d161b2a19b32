package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

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

func (w *world) Accept(on bool) { w.paused = !on }

func (w *world) Door(transport.Conn) int { return 0 }

func (w *world) Unlisten() bool { w.deaf = true; return true }

func (w *world) Retract(c transport.Conn, from int64) bool {
	e := w.ends[c]
	if !e.open || e.finished || from < e.upTo {
		return false
	}
	e.sent = e.sent[:min(int64(len(e.sent)), from-e.upTo)]
	return true
}

func (w *world) Arm(at float64) { w.armed = at }

func (w *world) Stop() { w.stopped = true }

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
	if invariant.Violations() > 0 {
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
