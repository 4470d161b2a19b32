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

// listLine returns the next version of the server list as one line: all servers that are not gone,
// or, if full is not set, the state of each as a change.
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

// addConn gives a connection its number, which may be that of a closed one.
func (w *world) addConn(conn *modelConn) transport.Conn {
	if n := len(w.freed); n > 0 && w.rng.IntN(2) == 0 {
		c := w.freed[0]
		w.freed = w.freed[1:]
		w.conns[c] = conn
		return c
	}
	w.conns = append(w.conns, conn)
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
	conn := w.conns[c]
	if conn == nil || !conn.open || conn.finished {
		w.t.Fatalf("the engine wrote to connection %d, which is not open", c)
	}
	conn.unsent = append(conn.unsent, b...)
	if conn.client != nil {
		conn.client.lastWriteAt = w.now
	}
}

func (w *world) Finish(c transport.Conn) {
	conn := w.conns[c]
	if conn.finished = true; conn.client != nil && conn.client.searchSent && conn.client.answers == 0 && len(conn.unsent) == 0 {
		w.t.Fatalf("search %s has no answer, but its connection was finished", conn.client.id)
	}
}

func (w *world) SetReading(c transport.Conn, on bool) { w.conns[c].readingPaused = !on }

func (w *world) SetAccepting(on bool) { w.paused = !on }

func (w *world) ListenerIndex(transport.Conn) int { return 0 }

func (w *world) CloseListeners() bool { w.listenersClosed = true; return true }

func (w *world) Retract(c transport.Conn, from int64) bool {
	conn := w.conns[c]
	if !conn.open || conn.finished || from < conn.takenBytes {
		return false
	}
	conn.unsent = conn.unsent[:min(int64(len(conn.unsent)), from-conn.takenBytes)]
	return true
}

func (w *world) SetTimer(at float64) { w.timerAt = at }

func (w *world) Stop() { w.stopped = true }

func (w *world) Close(c transport.Conn) {
	conn := w.conns[c]
	if conn == nil {
		w.t.Fatalf("connection %d closed twice", c)
	}
	if conn.client != nil && !conn.client.disconnected && conn.client.searchSent && conn.client.answers == 0 {
		w.t.Fatalf("search %s has no answer, but its connection was closed", conn.client.id)
	}
	w.conns[c] = nil
	w.freed = append(w.freed, c)
}

// turn runs events in one turn of the engine, then the turns that it requests at once.
func (w *world) turn(events ...func()) {
	for first := true; first || w.engine.turnRequested; first = false {
		w.engine.BeginTurn(w.now)
		if first {
			for _, event := range events {
				event()
			}
		}
		failed := w.failedConnects
		w.failedConnects = nil
		for _, c := range failed {
			if w.conns[c] != nil {
				w.closeByPeer(c)
			}
		}
		for c, conn := range w.conns {
			if conn != nil && conn.acknowledged < conn.takenBytes {
				conn.acknowledged = conn.takenBytes
				w.engine.Written(transport.Conn(c), conn.takenBytes)
			}
		}
		again := w.engine.EndTurn()
		w.deliver()
		w.engine.turnRequested = again || len(w.failedConnects) > 0
	}
	w.check()
}

// deliver accepts what was written, sometimes only a part, and reads the complete messages.
func (w *world) deliver() {
	for c, conn := range w.conns {
		if conn == nil || len(conn.unsent) == 0 || w.now < conn.stalledUntil {
			continue
		}
		n := len(conn.unsent)
		if w.rng.IntN(10) == 0 {
			n = w.rng.IntN(n + 1)
		}
		if len(conn.received) == 0 && n > 0 {
			conn.frameBeganAt = w.now
		}
		conn.received, conn.unsent = append(conn.received, conn.unsent[:n]...), conn.unsent[n:]
		conn.takenBytes += int64(n)
		switch {
		case conn.client != nil:
			w.readAnswer(conn)
		case conn.destination.Port() != 9:
			w.readFrames(transport.Conn(c), conn)
		}
	}
}

// readAnswer reads the complete answers that a client has received and checks that each is the only
// one and in time.
func (w *world) readAnswer(conn *modelConn) {
	for {
		head, body, complete := bytes.Cut(conn.received, []byte("\r\n\r\n"))
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
		conn.client.retryAfter = string(retryAfter)
		conn.received = body[bodyLength:]
		status, _ := strconv.Atoi(string(head[9:12]))
		if status == 100 {
			continue
		}
		client := conn.client
		client.answers++
		client.status = status
		if client.answers > 1 {
			w.t.Fatalf("search %s has a second answer", client.id)
		}
		if client.searchSent && client.lastWriteAt > client.answerDeadline {
			w.t.Fatalf("search %s answered with %d at %.0f, %.0f ms late",
				client.id, status, client.lastWriteAt, client.lastWriteAt-client.answerDeadline)
		}
		if status == 200 {
			w.readMatches(client, body[:bodyLength])
		}
	}
}

// readMatches checks that an answer holds the right value of each shard and is marked as complete
// only if it is.
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
		w.t.Fatalf("search %s of %d shards: wrong answer %s", client.id, len(client.shards), body)
	}
	for _, m := range answer.Matches {
		if m.Payload != fmt.Sprintf("%s.%d", client.id, m.Segment) || !slices.Contains(client.shards, m.Segment) {
			w.t.Fatalf("search %s: wrong value of shard %d in answer %s", client.id, m.Segment, body)
		}
	}
}

// readFrames reads the complete frames that a server has received.
func (w *world) readFrames(_ transport.Conn, conn *modelConn) {
	server := int(conn.destination.Addr().As4()[3]) - 1
	for len(conn.received) >= 4 {
		n := int(binary.LittleEndian.Uint32(conn.received)) + 4
		if len(conn.received) < n {
			return
		}
		frameType, payload := conn.received[4], string(conn.received[5:n])
		conn.received = conn.received[n:]
		if frameType != 'R' && len(conn.received) > 0 {
			conn.frameBeganAt = w.now
		}
		switch frameType {
		case 'A':
			if i := slices.Index(conn.pending, payload); i >= 0 && w.rng.IntN(3) > 0 {
				conn.pending = slices.Delete(conn.pending, i, i+1) // otherwise the reply is sent before the cancellation arrives
			}
		case 'G', 'T':
			conn.pending = append(conn.pending, string(frameType))
		case 'R':
			w.readRequestFrame(conn, server, payload)
		default:
			w.t.Fatalf("unknown frame type %q sent to server %d", frameType, server)
		}
	}
}

// readRequestFrame reads a frame of shard requests and checks that its server may get each of them.
func (w *world) readRequestFrame(conn *modelConn, server int, rest string) {
	requests := 0
	for ; rest != ""; requests++ {
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
			w.t.Fatalf("malformed shard request %q: %v", line, err)
		}
		text := after[:size]
		rest = after[size:]
		search, _, _ := strings.Cut(id, ".")
		client := w.byID[search]
		s := w.servers[server]
		switch {
		case client == nil || !slices.Contains(client.shards, shard) || text != "text of "+client.id:
			w.t.Fatalf("no client has sent the search of shard request %q, %q", line, text)
		case ((s.position-shard)%4+4)%4 >= 2:
			w.t.Fatalf("server %d at position %d does not hold shard %d", server, s.position, shard)
		case s.state != "ready" && conn.frameBeganAt > s.changedAt+250:
			w.t.Fatalf("a shard request was sent to server %d, which has been %s for %.0f ms", server, s.state, conn.frameBeganAt-s.changedAt)
		case slices.Contains(conn.pending, id):
			w.t.Fatalf("request id %s is twice on one connection", id)
		}
		conn.pending = append(conn.pending, id)
	}
	if requests == 0 || requests > 2 {
		w.t.Fatalf("a frame of %d shard requests, want 1 or 2", requests)
	}
}

// closeByPeer closes a connection from the peer's side.
func (w *world) closeByPeer(c transport.Conn) {
	conn := w.conns[c]
	w.conns[c] = nil
	if conn.client != nil {
		conn.client.disconnected = true
	}
	w.engine.Closed(c, conn.takenBytes)
	w.freed = append(w.freed, c)
}

// receiveBytes passes bytes from the peer to the engine, sometimes in pieces.
func (w *world) receiveBytes(c transport.Conn, b []byte) {
	for len(b) > 0 && w.conns[c] != nil && !w.conns[c].finished {
		n := len(b)
		if w.rng.IntN(3) == 0 {
			n = 1 + w.rng.IntN(n)
		}
		w.engine.Received(c, slices.Clone(b[:n]), w.now)
		b = b[n:]
	}
}

// sendFrame sends a frame from a server to the engine.
func (w *world) sendFrame(c transport.Conn, frameType byte, payload string) {
	w.receiveBytes(c, append(binary.LittleEndian.AppendUint32(nil, uint32(1+len(payload))), append([]byte{frameType}, payload...)...))
}

// startSearch connects a client that sends a search. budget is the client's time limit in ms.
func (w *world) startSearch(kind string, budget float64, shards ...int) *modelClient {
	client := &modelClient{id: fmt.Sprint("q", len(w.clients)), shards: shards, answerDeadline: w.now + budget + answerSlackMs}
	w.clients = append(w.clients, client)
	w.byID[client.id] = client
	c := w.addConn(&modelConn{client: client, open: true})
	w.engine.Accepted(c)
	var segments []string
	for _, s := range shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%g}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"text of %s"}`, strings.Join(segments, ","), client.id)
	client.searchSent = true
	w.receiveBytes(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %g\r\n"+
		"Content-Length: %d\r\n\r\n%s", client.id, kind, budget, len(body), body)))
	return client
}

// check verifies what must hold after every turn.
func (w *world) check() {
	for _, client := range w.clients {
		if !client.disconnected && client.answers == 0 && w.now > client.answerDeadline {
			unsent := 0
			for _, conn := range w.conns {
				if conn != nil && conn.client == client {
					unsent = len(conn.unsent)
				}
			}
			if unsent == 0 {
				w.t.Fatalf("search %s has no answer %.0f ms after its deadline", client.id, w.now-client.answerDeadline)
			}
		}
	}
	if invariant.Violations() > 0 {
		w.t.Fatal("an invariant was violated")
	}
}

// stepConn makes one random event happen on a connection; faultWeight sets how likely faults are.
func (w *world) stepConn(c transport.Conn, conn *modelConn, faultWeight int) {
	switch {
	case conn.client != nil:
		if conn.finished && len(conn.unsent) == 0 || w.rng.IntN(200) < faultWeight {
			w.closeByPeer(c)
		}
	case !conn.open:
		if w.rng.IntN(60) < faultWeight {
			w.closeByPeer(c)
		} else if w.rng.IntN(3) > 0 {
			conn.open = true
			w.engine.Opened(c)
		}
	case conn.destination.Port() == 9:
		if len(conn.received) > 0 {
			conn.received, conn.watched = nil, true
			w.receiveBytes(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			w.sendList(c, true)
		} else if w.rng.IntN(100) < faultWeight {
			w.closeByPeer(c)
		} else if conn.watched && w.rng.IntN(4) == 0 {
			w.receiveBytes(c, []byte("1\r\n\n\r\n"))
		}
	case w.rng.IntN(200) < faultWeight:
		w.closeByPeer(c)
	case w.rng.IntN(300) < faultWeight:
		conn.stalledUntil = w.now + float64(w.rng.IntN(600))
	case w.rng.IntN(400) < faultWeight:
		w.sendFrame(c, 'N', "what?")
		if w.conns[c] == conn {
			w.t.Fatal("a connection whose server refused a frame is kept")
		}
	case len(conn.pending) > 0 && w.rng.IntN(3) > 0:
		i := w.rng.IntN(len(conn.pending))
		id := conn.pending[i]
		conn.pending = slices.Delete(conn.pending, i, i+1)
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

// sendList sends the server list on a watch.
func (w *world) sendList(c transport.Conn, full bool) {
	line := append(w.listLine(full), '\n')
	w.receiveBytes(c, []byte(fmt.Sprintf("%x\r\n%s\r\n", len(line), line)))
}

// openConns establishes all connections that are being opened, and answers the request of the watch
// with headers.
func (w *world) openConns() {
	var events []func()
	for c, conn := range w.conns {
		if conn != nil && !conn.open {
			events = append(events, func() { conn.open = true; w.engine.Opened(transport.Conn(c)) })
		}
	}
	w.turn(events...)
	w.turn(func() {
		for c, conn := range w.conns {
			if conn != nil && conn.destination.Port() == 9 && !conn.watched {
				conn.watched, conn.received = true, nil
				w.receiveBytes(transport.Conn(c), []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			}
		}
	})
}

// serverConns returns the connections to servers.
func (w *world) serverConns() (list []transport.Conn) {
	for c, conn := range w.conns {
		if conn != nil && conn.client == nil && conn.destination.Port() != 9 {
			list = append(list, transport.Conn(c))
		}
	}
	return list
}

// answerAttempts has a server answer all attempts that wait on a connection.
func (w *world) answerAttempts(c transport.Conn) {
	conn := w.conns[c]
	pending := conn.pending
	conn.pending = nil
	w.turn(func() {
		for _, id := range pending {
			w.sendFrame(c, 'Y', id+" OK 5 -\n"+id)
		}
	})
}

// runUntilAnswered lets servers answer until a client has its answer, for at most 30 ms. That takes
// several turns, as the network may accept only a part of what was written in each.
func (w *world) runUntilAnswered(client *modelClient) {
	for i := 0; i < 30 && client.answers == 0; i++ {
		w.openConns()
		for _, c := range w.serverConns() {
			if conn := w.conns[c]; conn != nil && conn.open {
				w.answerAttempts(c)
			}
		}
		w.now++
	}
}

// watchConn returns the connection to discovery, or noConn.
func (w *world) watchConn() transport.Conn {
	for c, conn := range w.conns {
		if conn != nil && conn.client == nil && conn.destination.Port() == 9 {
			return transport.Conn(c)
		}
	}
	return noConn
}

// advance advances the time, with a turn whenever the timer expires.
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

// connectClients connects n clients, or fewer if accepting is suspended, each of which sends a text
// that may be empty.
func (w *world) connectClients(n int, text string) (list []transport.Conn) {
	w.turn(func() {
		for i := 0; i < n && !w.paused; i++ {
			c := w.addConn(&modelConn{client: &modelClient{id: "some"}, open: true})
			list = append(list, c)
			w.engine.Accepted(c)
			w.receiveBytes(c, []byte(text))
		}
	})
	return list
}
