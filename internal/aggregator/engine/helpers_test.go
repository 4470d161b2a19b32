package engine

import (
	"fmt"
	"slices"

	"kestrelspread/internal/transport"
)

// connOf returns a client's connection.
func (w *world) connOf(client *modelClient) transport.Conn {
	return transport.Conn(slices.IndexFunc(w.conns, func(e *modelConn) bool { return e != nil && e.client == client }))
}

// disconnect closes a client's connection.
func (w *world) disconnect(client *modelClient) { w.turn(func() { w.closeByPeer(w.connOf(client)) }) }

// sendWatchLine sends a line of discovery on a watch.
func (w *world) sendWatchLine(c transport.Conn, line string) {
	w.turn(func() { w.receiveBytes(c, fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line)) })
}

// openWatch opens a watch and answers it with headers.
func (w *world) openWatch(c transport.Conn) {
	w.turn(func() { w.conns[c].open = true; w.engine.Opened(c) })
	w.turn(func() { w.receiveBytes(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) })
}

// silenceWatch returns a watch that sends nothing after a heartbeat, and the time of that heartbeat.
func (w *world) silenceWatch() (c transport.Conn, at float64) {
	w.turn()
	w.openConns()
	c = w.watchConn()
	w.sendWatchLine(c, "")
	return c, w.now
}

// recordedSearch is a search of another front end; it records its final results.
type recordedSearch struct{ results []Result }

func (c *recordedSearch) Final(how Result, _ float64) { c.results = append(c.results, how) }

func (c *recordedSearch) Send(*Attempt) {}

func (c *recordedSearch) Cancel(*Attempt) {}

func (c *recordedSearch) Door() int { return 1 }

func (c *recordedSearch) Bytes() (in, out int64) { return 0, 0 }
