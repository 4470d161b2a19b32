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

func (w *world) listLine(full bool) []byte {
	w.version++
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"generation":%d,"reset":%v,"instances":[`, w.version, full)
	for i, s := range w.servers {
		if full && s.state == "gone" {
			continue
		}
		if b.Bytes()[b.Len()-1] == '}' {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"instanceId":"s%d","hostPort":"127.0.1.%d:80","zone":"a","cell":%d,"lifecycle":%q,"weight":1,"startedAtMs":0}`,
			i, i+1, s.position, s.state)
	}
	b.WriteString("]}")
	return b.Bytes()
}

func (w *world) addConn(e *modelConn) transport.Conn {
	if n := len(w.freed); n > 0 && w.rng.IntN(2) == 0 {
		c := w.freed[0]
		w.freed = w.freed[1:]
		w.conns[c] = e
		return c
	}
	w.conns = append(w.conns, e)
	return transport.Conn(len(w.conns) - 1)
}

func (w *world) Connect(to netip.AddrPort) transport.Conn {
	c := w.addConn(&modelConn{destination: to})
	if w.connectsLeft >= 0 {
		w.failedConnects = append(w.failedConnects, c)
	}
	return c
}

func (w *world) Write(c transport.Conn, b []byte) {
	e := w.conns[c]
	if e == nil || !e.open || e.finished {
		w.t.Fatalf("written to connection %d, which is not open", c)
	}
	e.unsent = append(e.unsent, b...)
	if e.client != nil {
		e.client.lastWriteAt = w.now
	}
}

func (w *world) Finish(c transport.Conn) {
	e := w.conns[c]
	if e.finished = true; e.client != nil && e.client.asked && e.client.answers == 0 && len(e.unsent) == 0 {
		w.t.Fatalf("search %s lost: its connection was ended", e.client.id)
	}
}

func (w *world) Reading(c transport.Conn, on bool) { w.conns[c].readingPaused = !on }

func (w *world) Accept(on bool) { w.paused = !on }

func (w *world) Door(transport.Conn) int { return 0 }

func (w *world) Unlisten() bool { w.unlistened = true; return true }

func (w *world) Retract(c transport.Conn, from int64) bool {
	e := w.conns[c]
	if !e.open || e.finished || from < e.takenBytes {
		return false
	}
	e.unsent = e.unsent[:min(int64(len(e.unsent)), from-e.takenBytes)]
	return true
}

func (w *world) Arm(at float64) { w.timerAt = at }

func (w *world) Stop() { w.stopped = true }

func (w *world) Close(c transport.Conn) {
	e := w.conns[c]
	if e == nil {
		w.t.Fatalf("connection %d closed twice", c)
	}
	if e.client != nil && !e.client.disconnected && e.client.asked && e.client.answers == 0 {
		w.t.Fatalf("search %s lost: its connection was closed", e.client.id)
	}
	w.conns[c] = nil
	w.freed = append(w.freed, c)
}

// turn runs events in one turn of the engine, then the turns that it requests at once.
func (w *world) turn(events ...func()) {
	for first := true; first || w.engine.turnRequested; first = false {
		w.engine.Begin(w.now)
		if first {
			for _, e := range events {
				e()
			}
		}
		dying := w.failedConnects
		w.failedConnects = nil
		for _, c := range dying {
			if w.conns[c] != nil {
				w.closeByPeer(c)
			}
		}
		for c, e := range w.conns {
			if e != nil && e.acknowledged < e.takenBytes {
				e.acknowledged = e.takenBytes
				w.engine.Written(transport.Conn(c), e.takenBytes)
			}
		}
		again := w.engine.End()
		w.deliver()
		w.engine.turnRequested = again || len(w.failedConnects) > 0
	}
	w.check()
}

// deliver accepts what was written, at times only some of it, and reads the messages that are complete.
func (w *world) deliver() {
	for c, e := range w.conns {
		if e == nil || len(e.unsent) == 0 || w.now < e.stalledUntil {
			continue
		}
		n := len(e.unsent)
		if w.rng.IntN(10) == 0 {
			n = w.rng.IntN(n + 1)
		}
		if len(e.received) == 0 && n > 0 {
			e.frameBeganAt = w.now
		}
		e.received, e.unsent = append(e.received, e.unsent[:n]...), e.unsent[n:]
		e.takenBytes += int64(n)
		switch {
		case e.client != nil:
			w.readAnswer(e)
		case e.destination.Port() != 9:
			w.readFrames(transport.Conn(c), e)
		}
	}
}

func (w *world) readAnswer(e *modelConn) {
	for {
		head, body, complete := bytes.Cut(e.received, []byte("\r\n\r\n"))
		if !complete {
			return
		}
		_, length, _ := bytes.Cut(head, []byte("Content-Length: "))
		length, _, _ = bytes.Cut(length, []byte("\r\n"))
		bodyLength, _ := strconv.Atoi(string(length))
		if len(body) < bodyLength {
			return
		}
		_, retryAfter, _ := bytes.Cut(head, []byte("Retry-After: "))
		retryAfter, _, _ = bytes.Cut(retryAfter, []byte("\r\n"))
		e.client.retryAfter = string(retryAfter)
		e.received = body[bodyLength:]
		status, _ := strconv.Atoi(string(head[9:12]))
		if status == 100 {
			continue
		}
		client := e.client
		client.answers++
		client.status = status
		if client.answers > 1 {
			w.t.Fatalf("search %s has a second answer", client.id)
		}
		if client.asked && client.lastWriteAt > client.answerDeadline {
			w.t.Fatalf("search %s answered with %d at %.0f, %.0f ms late", client.id, status, client.lastWriteAt, client.lastWriteAt-client.answerDeadline)
		}
		if status == 200 {
			w.readMatches(client, body[:bodyLength])
		}
	}
}

func (w *world) readMatches(client *modelClient, body []byte) {
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
	if answer.All != (len(answer.Matches) == len(client.shards)) || len(answer.Matches) == 0 {
		w.t.Fatalf("search %s: %s for %d parts", client.id, body, len(client.shards))
	}
	for _, m := range answer.Matches {
		if m.Payload != fmt.Sprintf("%s.%d", client.id, m.Segment) || !slices.Contains(client.shards, m.Segment) {
			w.t.Fatalf("search %s: %s", client.id, body)
		}
	}
}

func (w *world) readFrames(_ transport.Conn, e *modelConn) {
	server := int(e.destination.Addr().As4()[3]) - 1
	for len(e.received) >= 4 {
		n := int(binary.LittleEndian.Uint32(e.received)) + 4
		if len(e.received) < n {
			return
		}
		frameType, payload := e.received[4], string(e.received[5:n])
		e.received = e.received[n:]
		if frameType != 'R' && len(e.received) > 0 {
			e.frameBeganAt = w.now
		}
		switch frameType {
		case 'A':
			if i := slices.Index(e.pending, payload); i >= 0 && w.rng.IntN(3) > 0 {
				e.pending = slices.Delete(e.pending, i, i+1) // else the reply crosses the cancellation
			}
		case 'G', 'T':
			e.pending = append(e.pending, string(frameType))
		case 'R':
			w.readRequestFrame(e, server, payload)
		default:
			w.t.Fatalf("frame %c", frameType)
		}
	}
}

func (w *world) readRequestFrame(e *modelConn, server int, rest string) {
	parts := 0
	for ; rest != ""; parts++ {
		var id string
		var shard, wait, size int
		line, after, _ := strings.Cut(rest, "\n")
		w.requestLines = append(w.requestLines, line)
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
		client := w.byID[search]
		s := w.servers[server]
		switch {
		case client == nil || !slices.Contains(client.shards, shard) || text != "text of "+client.id:
			w.t.Fatalf("nobody asked for %s, %q", line, text)
		case ((s.position-shard)%4+4)%4 >= 2:
			w.t.Fatalf("server %d of cell %d does not hold shard %d", server, s.position, shard)
		case s.state != "ready" && e.frameBeganAt > s.changedAt+250:
			w.t.Fatalf("sent to server %d, %s for %.0f ms", server, s.state, e.frameBeganAt-s.changedAt)
		case slices.Contains(e.pending, id):
			w.t.Fatalf("%s is on one connection twice", id)
		}
		e.pending = append(e.pending, id)
	}
	if parts == 0 || parts > 2 {
		w.t.Fatalf("a call of %d parts", parts)
	}
}

func (w *world) closeByPeer(c transport.Conn) {
	e := w.conns[c]
	w.conns[c] = nil
	if e.client != nil {
		e.client.disconnected = true
	}
	w.engine.Closed(c, e.takenBytes)
	w.freed = append(w.freed, c)
}

// receiveBytes passes the peer's bytes to the engine, at times in pieces.
func (w *world) receiveBytes(c transport.Conn, b []byte) {
	for len(b) > 0 && w.conns[c] != nil && !w.conns[c].finished {
		n := len(b)
		if w.rng.IntN(3) == 0 {
			n = 1 + w.rng.IntN(n)
		}
		w.engine.Bytes(c, slices.Clone(b[:n]), w.now)
		b = b[n:]
	}
}

func (w *world) sendFrame(c transport.Conn, frameType byte, payload string) {
	w.receiveBytes(c, append(binary.LittleEndian.AppendUint32(nil, uint32(1+len(payload))), append([]byte{frameType}, payload...)...))
}

func (w *world) startSearch(kind string, budget float64, shards ...int) *modelClient {
	client := &modelClient{id: fmt.Sprint("q", len(w.clients)), shards: shards, answerDeadline: w.now + budget + answerSlackMs}
	w.clients = append(w.clients, client)
	w.byID[client.id] = client
	conn := w.addConn(&modelConn{client: client, open: true})
	w.engine.Accepted(conn)
	var segments []string
	for _, s := range shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%g}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"text of %s"}`, strings.Join(segments, ","), client.id)
	client.asked = true
	w.receiveBytes(conn, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %g\r\n"+
		"Content-Length: %d\r\n\r\n%s", client.id, kind, budget, len(body), body)))
	return client
}

// check verifies what must hold after every turn.
func (w *world) check() {
	for _, client := range w.clients {
		if !client.disconnected && client.answers == 0 && w.now > client.answerDeadline {
			unsent := 0
			for _, e := range w.conns {
				if e != nil && e.client == client {
					unsent = len(e.unsent)
				}
			}
			if unsent == 0 {
				w.t.Fatalf("search %s has no answer %.0f ms past its time", client.id, w.now-client.answerDeadline)
			}
		}
	}
	if invariant.Violations() > 0 {
		w.t.Fatal("an invariant was violated")
	}
}

// stepConn makes one random event happen on a connection.
func (w *world) stepConn(c transport.Conn, e *modelConn, faultWeight int) {
	switch {
	case e.client != nil:
		if e.finished && len(e.unsent) == 0 || w.rng.IntN(200) < faultWeight {
			w.closeByPeer(c)
		}
	case !e.open:
		if w.rng.IntN(60) < faultWeight {
			w.closeByPeer(c)
		} else if w.rng.IntN(3) > 0 {
			e.open = true
			w.engine.Opened(c)
		}
	case e.destination.Port() == 9:
		if len(e.received) > 0 {
			e.received, e.watched = nil, true
			w.receiveBytes(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			w.sendList(c, true)
		} else if w.rng.IntN(100) < faultWeight {
			w.closeByPeer(c)
		} else if e.watched && w.rng.IntN(4) == 0 {
			w.receiveBytes(c, []byte("1\r\n\n\r\n"))
		}
	case w.rng.IntN(200) < faultWeight:
		w.closeByPeer(c)
	case w.rng.IntN(300) < faultWeight:
		e.stalledUntil = w.now + float64(w.rng.IntN(600))
	case w.rng.IntN(400) < faultWeight:
		w.sendFrame(c, 'N', "what?")
		if w.conns[c] == e {
			w.t.Fatal("a connection that refused a frame is kept")
		}
	case len(e.pending) > 0 && w.rng.IntN(3) > 0:
		i := w.rng.IntN(len(e.pending))
		id := e.pending[i]
		e.pending = slices.Delete(e.pending, i, i+1)
		switch {
		case id == "G" || id == "T":
			w.sendFrame(c, id[0], "inflight=3,util=0.5")
		case w.rng.IntN(60) < faultWeight:
			w.sendFrame(c, 'Y', id+" ERROR 0 -\n")
		case w.rng.IntN(60) < faultWeight:
			w.sendFrame(c, 'Y', id+" REJECTED 0 -\n")
		default:
			w.sendFrame(c, 'Y', id+" OK 5 inflight=3,util=0.5\n"+id)
		}
	}
}

func (w *world) sendList(c transport.Conn, full bool) {
	line := append(w.listLine(full), '\n')
	w.receiveBytes(c, []byte(fmt.Sprintf("%x\r\n%s\r\n", len(line), line)))
}

// openConns completes every connection that is being opened, and answers the watch with its headers.
func (w *world) openConns() {
	var events []func()
	for c, e := range w.conns {
		if e != nil && !e.open {
			events = append(events, func() { e.open = true; w.engine.Opened(transport.Conn(c)) })
		}
	}
	w.turn(events...)
	w.turn(func() {
		for c, e := range w.conns {
			if e != nil && e.destination.Port() == 9 && !e.watched {
				e.watched, e.received = true, nil
				w.receiveBytes(transport.Conn(c), []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			}
		}
	})
}

// serverConns returns the connections to servers.
func (w *world) serverConns() (list []transport.Conn) {
	for c, e := range w.conns {
		if e != nil && e.client == nil && e.destination.Port() != 9 {
			list = append(list, transport.Conn(c))
		}
	}
	return list
}

func (w *world) answerAttempts(c transport.Conn) {
	e := w.conns[c]
	pending := e.pending
	e.pending = nil
	w.turn(func() {
		for _, id := range pending {
			w.sendFrame(c, 'Y', id+" OK 5 -\n"+id)
		}
	})
}

// runUntilAnswered lets servers answer until a client has its answer; the network accepts some of it at a time.
func (w *world) runUntilAnswered(client *modelClient) {
	for i := 0; i < 30 && client.answers == 0; i++ {
		w.openConns()
		for _, c := range w.serverConns() {
			if e := w.conns[c]; e != nil && e.open {
				w.answerAttempts(c)
			}
		}
		w.now++
	}
}

// watchConn returns the connection to discovery, or noConn.
func (w *world) watchConn() transport.Conn {
	for c, e := range w.conns {
		if e != nil && e.client == nil && e.destination.Port() == 9 {
			return transport.Conn(c)
		}
	}
	return noConn
}

// advance lets time go by, with a turn whenever the timer expires.
func (w *world) advance(ms float64) {
	for end := w.now + ms; w.now < end; {
		if w.timerAt > w.now && w.timerAt < end {
			w.now = w.timerAt
		} else {
			w.now = end
		}
		w.turn()
	}
}

// connectClients connects clients that send a text, or nothing.
func (w *world) connectClients(n int, says string) (list []transport.Conn) {
	w.turn(func() {
		for i := 0; i < n && !w.paused; i++ {
			c := w.addConn(&modelConn{client: &modelClient{id: "some"}, open: true})
			list = append(list, c)
			w.engine.Accepted(c)
			w.receiveBytes(c, []byte(says))
		}
	})
	return list
}
