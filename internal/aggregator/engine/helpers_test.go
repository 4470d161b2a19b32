package engine

import (
	"fmt"
	"slices"

	"kestrelspread/internal/transport"
)

// connOf returns a client's connection.
func (w *world) connOf(client *modelClient) transport.Conn {
	return transport.Conn(slices.IndexFunc(w.conns, func(conn *modelConn) bool { return conn != nil && conn.client == client }))
}

// disconnect closes a client's connection.
func (w *world) disconnect(client *modelClient) { w.turn(func() { w.closeByPeer(w.connOf(client)) }) }

// sendWatchLine sends one line of the list stream on a watch.
func (w *world) sendWatchLine(c transport.Conn, line string) {
	w.turn(func() { w.receiveBytes(c, fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line)) })
}

// openWatch establishes the connection of a watch and answers its request with headers.
func (w *world) openWatch(c transport.Conn) {
	w.turn(func() { w.conns[c].open = true; w.engine.Opened(c) })
	w.turn(func() { w.receiveBytes(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) })
}

// silenceWatch returns a watch on which nothing follows after a heartbeat, and the time of that
// heartbeat.
func (w *world) silenceWatch() (c transport.Conn, at float64) {
	w.turn()
	w.openConns()
	c = w.watchConn()
	w.sendWatchLine(c, "")
	return c, w.now
}

// recordedSearch is a search of a further front end. It records its final results.
type recordedSearch struct{ results []Result }

func (c *recordedSearch) Answer(result Result, _ float64) { c.results = append(c.results, result) }

func (c *recordedSearch) Send(*Attempt) {}

func (c *recordedSearch) Cancel(*Attempt) {}

func (c *recordedSearch) FrontendNumber() int { return 1 }

func (c *recordedSearch) BodyBytes() (in, out int64) { return 0, 0 }
