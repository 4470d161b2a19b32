// Package simwire speaks the bench's frames: it reads events in place, turns ids into small indices,
// keeps one policy for each aggregator and writes down what that policy decides.
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

// host is what one process keeps: the numbered lists and its aggregators.
type host struct {
	lists     [16][]byte
	instances map[uint16]*instance
	inRound   []*instance
	now       float64
	reply     []byte
	records   uint32
	speaker   int
}

// instance is one aggregator: its policy, and the indices of the simulator's ids.
type instance struct {
	number      uint16
	alive       bool
	host        *host
	port        policy.Port
	idOf        []uint64 // request index to id
	indexOf     map[uint64]int
	freeIndices []int
	searchOfJob map[float32]int
	jobOfSearch map[int]float32
	requestsOf  map[int][]int // a search's parts
	serverIndex map[[6]byte]int
	serverIDs   [][6]byte
	listed      []bool
	report      []float64
	inRound     bool
}

// Run plays until the input ends between two frames.
func Run(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, maxRead), bufio.NewWriterSize(w, maxRead)
	h := &host{instances: map[uint16]*instance{}}
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
		if err := h.handleFrame(frame); err != nil {
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
	frame  []byte
	offset int
	broken bool
}

func (c *cursor) bytes(n int) []byte {
	if c.broken || n < 0 || n > len(c.frame)-c.offset {
		c.broken = true
		return nil
	}
	c.offset += n
	return c.frame[c.offset-n : c.offset]
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

// handleFrame reads the records of a frame; a policy that panics is reported in the reply.
func (h *host) handleFrame(frame []byte) (err error) {
	h.reply, h.records, h.speaker = h.reply[:0], 0, -1
	h.inRound = h.inRound[:0]
	var in *instance
	defer func() {
		if v := recover(); v != nil {
			if in != nil {
				h.selectInstance(in)
			}
			h.appendText(1030, fmt.Sprint("decision code failed: ", v))
			err = nil
		}
	}()
	c := &cursor{frame: frame}
	for c.offset < len(frame) {
		at := c.offset
		code := c.u16()
		if code == 1050 {
			num := c.u16()
			if !c.broken {
				if in = h.instances[num]; in == nil {
					in = &instance{number: num, host: h}
					h.instances[num] = in
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
			name, known := eventNames[code]
			if !known {
				return fmt.Errorf("unknown code %d at byte %d", code, at)
			}
			if in == nil {
				return fmt.Errorf("%s at byte %d comes before any For", name, at)
			}
			if err := in.handleEvent(code, c); err != nil {
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
	for _, in = range h.inRound {
		if in.inRound {
			in.inRound = false
			in.port.End()
		}
	}
	return nil
}

var eventNames = map[uint16]string{
	1000: "ProbeResult", 1010: "AckFirst", 1020: "Teardown", 1030: "Update", 1040: "Enlist",
	1060: "Lapsed", 1070: "Inbound", 1080: "Peer", 1100: "Done", 1110: "Bell",
}

// outcomes holds the wire's numbers in tens.
var outcomes = [...]policy.Outcome{1: policy.Answered, 2: policy.Errored, 3: policy.Rejected, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.Reset, 7: policy.Cancelled, 8: policy.NeverSent}

// beginRound begins the instance's round of this frame with its first event.
func (in *instance) beginRound() {
	if !in.inRound {
		in.inRound = true
		in.host.inRound = append(in.host.inRound, in)
		in.port.Begin(in.host.now)
	}
}

// handleEvent reads one event of an instance and notifies its policy.
func (in *instance) handleEvent(code uint16, c *cursor) error {
	if code == 1040 {
		seed, n := c.u64(), c.u32()
		facts := c.bytes(int(min(n, math.MaxInt32)))
		if !c.broken {
			in.start(seed, string(facts))
		}
		return nil
	}
	if !in.alive {
		return errors.New("the instance has no Enlist")
	}
	if code == 1020 {
		in.alive, in.inRound, in.port = false, false, nil
		return nil
	}
	in.beginRound()
	switch code {
	case 1030:
		return in.handleUpdate(c)
	case 1070:
		in.handleInbound(c)
	case 1100:
		return in.handleDone(c)
	case 1060:
		if at, held := in.indexOf[c.u64()]; held && !c.broken {
			in.port.ClientGone(at)
		}
	case 1000:
		in.handleProbeResult(c)
	case 1010:
		c.bytes(8 + 2 + 6 + 8)
	case 1080:
		c.u32()
		c.bytes(int(c.u16()))
	case 1110:
		c.u64()
		if !c.broken {
			in.port.Woken()
		}
	}
	return nil
}

// handleUpdate applies a list of servers, or tells that asking for it failed.
func (in *instance) handleUpdate(c *cursor) error {
	list, _, kind := c.u8(), c.u32(), c.u8()
	if c.broken {
		return nil
	}
	if kind == 3 {
		in.port.DiscoveryFailed()
		return nil
	}
	if int(list) >= len(in.host.lists) || kind > 3 {
		return fmt.Errorf("list %d of kind %d", list, kind)
	}
	in.applyRows(in.host.lists[list], kind != 0)
	return nil
}

// handleDone ends an attempt.
func (in *instance) handleDone(c *cursor) error {
	id, outcome, _, attempt, _, _ := c.u64(), c.u8(), c.node(), c.u16(), c.u8(), c.f64()
	report := in.readReport(c)
	if c.broken {
		return nil
	}
	if outcome%10 != 0 || outcome == 0 || int(outcome/10) >= len(outcomes) {
		return fmt.Errorf("outcome %d", outcome)
	}
	if index, known := in.indexOf[id]; known {
		in.port.Done(index, int(attempt), outcomes[outcome/10], report)
	}
	return nil
}

// handleProbeResult ends a health check.
func (in *instance) handleProbeResult(c *cursor) {
	node, result, elapsed := c.node(), c.u8(), c.f64()
	report := in.readReport(c)
	if index, known := in.serverIndex[node]; known && !c.broken {
		in.port.Probed(index, result == 10, elapsed, report)
	}
}

// readReport reads the values of a load report.
func (in *instance) readReport(c *cursor) []float64 {
	n := int(c.u8())
	in.report = in.report[:0]
	for i := 0; i < n && !c.broken; i++ {
		in.report = append(in.report, c.f32())
	}
	return in.report
}

// applyRows applies the rows of a list; servers that a full one doesn't name are gone.
func (in *instance) applyRows(rows []byte, full bool) {
	seen := make([]bool, len(in.serverIDs), len(in.serverIDs)+len(rows)/rowSize)
	c := &cursor{frame: rows}
	for c.offset < len(rows) {
		node, hall, _, cell, state := c.node(), c.u8(), c.u8(), c.u16(), c.u8()
		size, started := c.f32(), c.f64()
		at, known := in.serverIndex[node]
		if !known {
			at = len(in.serverIDs)
			in.serverIndex[node] = at
			in.serverIDs = append(in.serverIDs, node)
			in.listed = append(in.listed, false)
			seen = append(seen, false)
		}
		as := policy.Ready
		switch state {
		case 1:
			as = policy.Draining
		case 3:
			as = policy.Gone
		}
		seen[at], in.listed[at] = true, as != policy.Gone
		in.port.Server(at, int(hall), int(cell), as, size, started)
	}
	if !full {
		return
	}
	for at, was := range seen {
		if !was && in.listed[at] {
			in.listed[at] = false
			in.port.Server(at, 0, 0, policy.Gone, 0, 0)
		}
	}
}

// handleInbound takes a search, or a shard request of one.
func (in *instance) handleInbound(c *cursor) {
	id, kind, customer, key, until, work := c.u64(), int(c.u8()), int(c.u16()), c.u64(), c.f64(), c.f64()
	job, segment, share, bits := float32(c.f32()), int(c.f32()), c.f32(), c.u8()
	if c.broken {
		return
	}
	if bits&1 == 0 {
		work = 0
	}
	if segment < 0 {
		at := in.newIndex(id)
		in.searchOfJob[job], in.jobOfSearch[at] = at, job
		in.port.Search(at, kind, customer, until, int(share))
		return
	}
	if search, held := in.searchOfJob[job]; held {
		at := in.newIndex(id)
		in.requestsOf[search] = append(in.requestsOf[search], at)
		in.port.ShardRequest(search, at, segment, share, work, key)
	}
}

// newIndex gives an id its index.
func (in *instance) newIndex(id uint64) int {
	at := len(in.idOf)
	if n := len(in.freeIndices); n > 0 {
		at, in.freeIndices = in.freeIndices[n-1], in.freeIndices[:n-1]
		in.idOf[at] = id
	} else {
		in.idOf = append(in.idOf, id)
	}
	in.indexOf[id] = at
	return at
}

// start starts an instance anew with its settings.
func (in *instance) start(seed uint64, facts string) {
	*in = instance{number: in.number, host: in.host, alive: true, indexOf: map[uint64]int{},
		searchOfJob: map[float32]int{}, jobOfSearch: map[int]float32{}, requestsOf: map[int][]int{}, serverIndex: map[[6]byte]int{}}
	in.port = settings.FromFacts(facts).NewPolicy(in, seed)
	in.beginRound()
}

func (h *host) selectInstance(in *instance) {
	if h.speaker != int(in.number) {
		h.speaker = int(in.number)
		h.appendRecord(1070)
		h.reply = binary.LittleEndian.AppendUint16(h.reply, in.number)
	}
}

func (h *host) appendRecord(code uint16) {
	h.records++
	h.reply = binary.LittleEndian.AppendUint16(h.reply, code)
}

func (h *host) appendText(code uint16, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	h.appendRecord(code)
	h.reply = binary.LittleEndian.AppendUint16(h.reply, uint16(len(s)))
	h.reply = append(h.reply, s...)
}

func (in *instance) beginRecord(code uint16) {
	in.host.selectInstance(in)
	in.host.appendRecord(code)
}

func (in *instance) u64(v uint64)  { in.host.reply = binary.LittleEndian.AppendUint64(in.host.reply, v) }
func (in *instance) f64(v float64) { in.u64(math.Float64bits(v)) }

// Send implements policy.Out: one more attempt goes to a server, by a frame to the simulator.
func (in *instance) Send(part, server int, within, _ float64) {
	in.beginRecord(1130)
	in.u64(in.idOf[part])
	in.f64(within)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// Cancel implements policy.Out: an attempt is cancelled, by a frame to the simulator.
func (in *instance) Cancel(part, try int) {
	in.beginRecord(1100)
	in.u64(in.idOf[part])
	in.host.reply = binary.LittleEndian.AppendUint16(in.host.reply, uint16(try))
}

// Answer implements policy.Out: a search is answered, by a frame to the simulator.
func (in *instance) Answer(search int, complete bool) {
	in.beginRecord(1080)
	in.u64(in.idOf[search])
	mark := byte(0)
	if complete {
		mark = 1
	}
	in.host.reply = append(in.host.reply, mark)
}

// Shed implements policy.Out: a search is refused, by a frame to the simulator.
func (in *instance) Shed(search int, comeBack float64) {
	in.beginRecord(1010)
	in.u64(in.idOf[search])
	in.f64(comeBack)
}

// Fail implements policy.Out: a search ends in error, by a frame to the simulator.
func (in *instance) Fail(search int) {
	in.beginRecord(1060)
	in.u64(in.idOf[search])
}

// Probe implements policy.Out: a server is probed, by a frame to the simulator.
func (in *instance) Probe(server int) {
	in.beginRecord(1050)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// Close implements policy.Out: idle connections to a server are closed, by a frame to the simulator.
func (in *instance) Close(server int) {
	in.beginRecord(1000)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// Subscribe implements policy.Out: the list is subscribed to, by a frame to the simulator.
func (in *instance) Subscribe() {
	in.beginRecord(1110)
	in.host.reply = append(in.host.reply, 1)
}

// Wake implements policy.Out: the policy wants a round after so many milliseconds, by a frame to the simulator.
func (in *instance) Wake(delay float64) {
	in.beginRecord(1020)
	in.f64(delay)
	in.u64(0)
}

// Log implements policy.Out: the policy has a line for the log.
func (in *instance) Log(text string) {
	in.host.selectInstance(in)
	in.host.appendText(1120, text)
}

// Forget implements policy.Out: the indices of a search may be used again.
func (in *instance) Forget(search int) {
	for _, at := range append(in.requestsOf[search], search) {
		delete(in.indexOf, in.idOf[at])
		in.freeIndices = append(in.freeIndices, at)
	}
	delete(in.requestsOf, search)
	if job := in.jobOfSearch[search]; in.searchOfJob[job] == search {
		delete(in.searchOfJob, job)
	}
	delete(in.jobOfSearch, search)
}
