package engine

import (
	"fmt"
	"slices"

	"kestrelspread/internal/transport"
)

// connOf is a client's connection.
func (w *world) connOf(k *caller) transport.Conn {
	return transport.Conn(slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k }))
}

// goes has a client leave.
func (w *world) goes(k *caller) { w.turn(func() { w.lose(w.connOf(k)) }) }

// tells has discovery say a line on a watch.
func (w *world) tells(c transport.Conn, line string) {
	w.turn(func() { w.say(c, fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line)) })
}

// heads opens a watch and answers its head.
func (w *world) heads(c transport.Conn) {
	w.turn(func() { w.ends[c].open = true; w.r.Opened(c) })
	w.turn(func() { w.say(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) })
}

// silentSince lets a watch that has just beaten fall silent.
func (w *world) silentSince() (c transport.Conn, at float64) {
	w.turn()
	w.open()
	c = w.watching()
	w.tells(c, "")
	return c, w.now
}

// told is a search that a further front brought, as far as its one final answer.
type told struct{ finals []Result }

func (c *told) Final(how Result, _ float64) { c.finals = append(c.finals, how) }

func (c *told) Send(*Attempt) {}

func (c *told) Cancel(*Attempt) {}

func (c *told) Door() int { return 1 }

func (c *told) Bytes() (in, out int64) { return 0, 0 }
