// Package simwire speaks the bench's frames: it reads events in place, turns ids into small indices,
// keeps one module for each broker and writes down what that module decides.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/settings"
)

const (
	rowSize = 23
	maxRead = 1 << 16 // read at most this much ahead of what has come, so that a false length costs little
)

// host is what one process keeps: the numbered lists and its brokers.
type host struct {
	lists   [16][]byte
	brokers map[uint16]*broker
	order   []*broker
	now     float64
	reply   []byte
	records uint32
	speaker int
}

// broker is one instance: its module and the indices at its door.
type broker struct {
	num     uint16
	alive   bool
	h       *host
	port    policy.Port
	wire    []uint64 // request index to id
	index   map[uint64]int
	free    []int
	jobs    map[float32]int
	jobOf   map[int]float32
	members map[int][]int // a search's parts
	servers map[[6]byte]int
	names   [][6]byte
	listed  []bool
	report  []float64
	inRound bool
}

// Run plays until the input ends between two frames.
func Run(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, maxRead), bufio.NewWriterSize(w, maxRead)
	h := &host{brokers: map[uint16]*broker{}}
	var head [12]byte
	var frame []byte
	for n := 0; ; n++ {
		if _, err := io.ReadFull(in, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame %d: header cut short: %w", n, err)
		}
		size := int(binary.LittleEndian.Uint32(head[:]))
		frame = frame[:0]
		for len(frame) < size {
			at, step := len(frame), min(size-len(frame), maxRead)
			frame = append(frame, make([]byte, step)...)
			if _, err := io.ReadFull(in, frame[at:]); err != nil {
				return fmt.Errorf("frame %d: cut short in its %d bytes: %w", n, size, err)
			}
		}
		h.now = math.Float64frombits(binary.LittleEndian.Uint64(head[4:]))
		if math.IsNaN(h.now) || math.IsInf(h.now, 0) {
			return fmt.Errorf("frame %d: the clock is no number", n)
		}
		if err := h.batch(frame); err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		binary.LittleEndian.PutUint32(head[:], h.records)
		binary.LittleEndian.PutUint32(head[4:], uint32(len(h.reply)))
		out.Write(head[:8])
		out.Write(h.reply)
		if err := out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

var errShort = errors.New("overruns its frame")

// cursor reads a frame; a read past its end marks it broken instead of failing at once.
type cursor struct {
	b      []byte
	at     int
	broken bool
}

func (c *cursor) bytes(n int) []byte {
	if c.broken || n < 0 || n > len(c.b)-c.at {
		c.broken = true
		return nil
	}
	c.at += n
	return c.b[c.at-n : c.at]
}

func (c *cursor) u8() uint8 {
	if v := c.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if v := c.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if v := c.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if v := c.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

func (c *cursor) f64() float64 { return finite(math.Float64frombits(c.u64())) }
func (c *cursor) f32() float64 { return finite(float64(math.Float32frombits(c.u32()))) }

func (c *cursor) node() (id [6]byte) {
	copy(id[:], c.bytes(6))
	return id
}

// finite keeps what is no number away from sums that it would spoil for good.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (h *host) batch(frame []byte) (err error) {
	h.reply, h.records, h.speaker = h.reply[:0], 0, -1
	h.order = h.order[:0]
	var b *broker
	defer func() {
		if v := recover(); v != nil {
			if b != nil {
				h.speak(b)
			}
			h.text(1030, fmt.Sprint("decision code failed: ", v))
			err = nil
		}
	}()
	c := &cursor{b: frame}
	for c.at < len(frame) {
		at := c.at
		code := c.u16()
		if code == 1050 {
			num := c.u16()
			if !c.broken {
				if b = h.brokers[num]; b == nil {
					b = &broker{num: num, h: h}
					h.brokers[num] = b
				}
			}
		} else if code == 1090 {
			list, rows := c.u8(), c.u32()
			data := c.bytes(int(min(uint64(rows)*rowSize, math.MaxInt32)))
			if !c.broken {
				if int(list) >= len(h.lists) {
					return fmt.Errorf("SnapshotRows at byte %d: list number %d is over 15", at, list)
				}
				h.lists[list] = append(h.lists[list][:0], data...)
			}
		} else if !c.broken {
			name, known := events[code]
			if !known {
				return fmt.Errorf("unknown code %d at byte %d", code, at)
			}
			if b == nil {
				return fmt.Errorf("%s at byte %d comes before any For", name, at)
			}
			if err := b.event(code, c); err != nil {
				return fmt.Errorf("%s at byte %d: %w", name, at, err)
			}
			if c.broken {
				return fmt.Errorf("%s at byte %d %w", name, at, errShort)
			}
		}
		if c.broken {
			return fmt.Errorf("record %d at byte %d %w", code, at, errShort)
		}
	}
	for _, b = range h.order {
		if b.inRound {
			b.inRound = false
			b.port.End()
		}
	}
	return nil
}

var events = map[uint16]string{
	1000: "ProbeResult", 1010: "AckFirst", 1020: "Teardown", 1030: "Update", 1040: "Enlist",
	1060: "Lapsed", 1070: "Inbound", 1080: "Peer", 1100: "Done", 1110: "Bell",
}

// outcomes holds the wire's numbers in tens.
var outcomes = [...]policy.Outcome{1: policy.Answered, 2: policy.Errored, 3: policy.Rejected, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.Reset, 7: policy.Cancelled, 8: policy.NeverSent}

func (b *broker) round() {
	if !b.inRound {
		b.inRound = true
		b.h.order = append(b.h.order, b)
		b.port.Begin(b.h.now)
	}
}

func (b *broker) event(code uint16, c *cursor) error {
	if code == 1040 {
		seed, n := c.u64(), c.u32()
		facts := c.bytes(int(min(n, math.MaxInt32)))
		if !c.broken {
			b.enlist(seed, string(facts))
		}
		return nil
	}
	if !b.alive {
		return errors.New("the instance has no Enlist")
	}
	if code == 1020 {
		b.alive, b.inRound, b.port = false, false, nil
		return nil
	}
	b.round()
	switch code {
	case 1030:
		list, _, kind := c.u8(), c.u32(), c.u8()
		if c.broken {
			return nil
		}
		if kind == 3 {
			b.port.DiscoveryFailed()
			return nil
		}
		if int(list) >= len(b.h.lists) || kind > 3 {
			return fmt.Errorf("list %d of kind %d", list, kind)
		}
		b.update(b.h.lists[list], kind != 0)
	case 1070:
		b.inbound(c)
	case 1100:
		id, how, _, shot, _, _ := c.u64(), c.u8(), c.node(), c.u16(), c.u8(), c.f64()
		load := b.gauge(c)
		if c.broken {
			return nil
		}
		if how%10 != 0 || how == 0 || int(how/10) >= len(outcomes) {
			return fmt.Errorf("outcome %d", how)
		}
		if at, held := b.index[id]; held {
			b.port.Done(at, int(shot), outcomes[how/10], load)
		}
	case 1060:
		if at, held := b.index[c.u64()]; held && !c.broken {
			b.port.ClientGone(at)
		}
	case 1000:
		node, how, elapsed := c.node(), c.u8(), c.f64()
		load := b.gauge(c)
		if at, known := b.servers[node]; known && !c.broken {
			b.port.Probed(at, how == 10, elapsed, load)
		}
	case 1010:
		c.bytes(8 + 2 + 6 + 8)
	case 1080:
		c.u32()
		c.bytes(int(c.u16()))
	case 1110:
		c.u64()
		if !c.broken {
			b.port.Woken()
		}
	}
	return nil
}

func (b *broker) gauge(c *cursor) []float64 {
	n := int(c.u8())
	b.report = b.report[:0]
	for i := 0; i < n && !c.broken; i++ {
		b.report = append(b.report, c.f32())
	}
	return b.report
}

func (b *broker) update(rows []byte, whole bool) {
	seen := make([]bool, len(b.names), len(b.names)+len(rows)/rowSize)
	c := &cursor{b: rows}
	for c.at < len(rows) {
		node, hall, _, cell, state := c.node(), c.u8(), c.u8(), c.u16(), c.u8()
		size, started := c.f32(), c.f64()
		at, known := b.servers[node]
		if !known {
			at = len(b.names)
			b.servers[node] = at
			b.names = append(b.names, node)
			b.listed = append(b.listed, false)
			seen = append(seen, false)
		}
		as := policy.Ready
		switch state {
		case 1:
			as = policy.Draining
		case 3:
			as = policy.Gone
		}
		seen[at], b.listed[at] = true, as != policy.Gone
		b.port.Server(at, int(hall), int(cell), as, size, started)
	}
	if !whole {
		return
	}
	for at, was := range seen {
		if !was && b.listed[at] {
			b.listed[at] = false
			b.port.Server(at, 0, 0, policy.Gone, 0, 0)
		}
	}
}

func (b *broker) inbound(c *cursor) {
	id, kind, customer, key, until, work := c.u64(), int(c.u8()), int(c.u16()), c.u64(), c.f64(), c.f64()
	job, segment, share, bits := float32(c.f32()), int(c.f32()), c.f32(), c.u8()
	if c.broken {
		return
	}
	if bits&1 == 0 {
		work = 0
	}
	if segment < 0 {
		at := b.take(id)
		b.jobs[job], b.jobOf[at] = at, job
		b.port.Search(at, kind, customer, until, int(share))
		return
	}
	if search, held := b.jobs[job]; held {
		at := b.take(id)
		b.members[search] = append(b.members[search], at)
		b.port.ShardRequest(search, at, segment, share, work, key)
	}
}

func (b *broker) take(id uint64) int {
	at := len(b.wire)
	if n := len(b.free); n > 0 {
		at, b.free = b.free[n-1], b.free[:n-1]
		b.wire[at] = id
	} else {
		b.wire = append(b.wire, id)
	}
	b.index[id] = at
	return at
}

// enlist starts an instance anew with its settings.
func (b *broker) enlist(seed uint64, facts string) {
	*b = broker{num: b.num, h: b.h, alive: true, index: map[uint64]int{},
		jobs: map[float32]int{}, jobOf: map[int]float32{}, members: map[int][]int{}, servers: map[[6]byte]int{}}
	b.port = settings.FromFacts(facts).NewPolicy(b, seed)
	b.round()
}

func (h *host) speak(b *broker) {
	if h.speaker != int(b.num) {
		h.speaker = int(b.num)
		h.record(1070)
		h.reply = binary.LittleEndian.AppendUint16(h.reply, b.num)
	}
}

func (h *host) record(code uint16) {
	h.records++
	h.reply = binary.LittleEndian.AppendUint16(h.reply, code)
}

func (h *host) text(code uint16, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	h.record(code)
	h.reply = binary.LittleEndian.AppendUint16(h.reply, uint16(len(s)))
	h.reply = append(h.reply, s...)
}

func (b *broker) say(code uint16) {
	b.h.speak(b)
	b.h.record(code)
}

func (b *broker) u64(v uint64)  { b.h.reply = binary.LittleEndian.AppendUint64(b.h.reply, v) }
func (b *broker) f64(v float64) { b.u64(math.Float64bits(v)) }

// Send implements policy.Out: one more sub-request goes to a server, by a frame to the simulator.
func (b *broker) Send(part, server int, within, _ float64) {
	b.say(1130)
	b.u64(b.wire[part])
	b.f64(within)
	b.h.reply = append(b.h.reply, b.names[server][:]...)
}

// Cancel implements policy.Out: a sub-request is called off, by a frame to the simulator.
func (b *broker) Cancel(part, try int) {
	b.say(1100)
	b.u64(b.wire[part])
	b.h.reply = binary.LittleEndian.AppendUint16(b.h.reply, uint16(try))
}

// Answer implements policy.Out: a search is answered, by a frame to the simulator.
func (b *broker) Answer(search int, whole bool) {
	b.say(1080)
	b.u64(b.wire[search])
	mark := byte(0)
	if whole {
		mark = 1
	}
	b.h.reply = append(b.h.reply, mark)
}

// Shed implements policy.Out: a search is refused, by a frame to the simulator.
func (b *broker) Shed(search int, comeBack float64) {
	b.say(1010)
	b.u64(b.wire[search])
	b.f64(comeBack)
}

// Fail implements policy.Out: a search ends in error, by a frame to the simulator.
func (b *broker) Fail(search int) {
	b.say(1060)
	b.u64(b.wire[search])
}

// Probe implements policy.Out: a server is probed, by a frame to the simulator.
func (b *broker) Probe(server int) {
	b.say(1050)
	b.h.reply = append(b.h.reply, b.names[server][:]...)
}

// Close implements policy.Out: idle connections to a server are closed, by a frame to the simulator.
func (b *broker) Close(server int) {
	b.say(1000)
	b.h.reply = append(b.h.reply, b.names[server][:]...)
}

// Subscribe implements policy.Out: the list is subscribed to, by a frame to the simulator.
func (b *broker) Subscribe() {
	b.say(1110)
	b.h.reply = append(b.h.reply, 1)
}

// Wake implements policy.Out: the module wants a round after so many milliseconds, by a frame to the simulator.
func (b *broker) Wake(in float64) {
	b.say(1020)
	b.f64(in)
	b.u64(0)
}

// Log implements policy.Out: the module has a line for the log.
func (b *broker) Log(text string) {
	b.h.speak(b)
	b.h.text(1120, text)
}

// Forget implements policy.Out: the indices of a search may be used again.
func (b *broker) Forget(search int) {
	for _, at := range append(b.members[search], search) {
		delete(b.index, b.wire[at])
		b.free = append(b.free, at)
	}
	delete(b.members, search)
	if job := b.jobOf[search]; b.jobs[job] == search {
		delete(b.jobs, job)
	}
	delete(b.jobOf, search)
}
