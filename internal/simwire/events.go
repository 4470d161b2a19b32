package simwire

import (
	"errors"
	"fmt"
	"math"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/settings"
)

var eventNames = map[uint16]string{
	1000: "ProbeResult", 1010: "AckFirst", 1020: "Teardown", 1030: "Update", 1040: "Enlist",
	1060: "Lapsed", 1070: "Inbound", 1080: "Peer", 1100: "Done", 1110: "Bell",
}

// outcomes holds the wire's numbers in tens.
var outcomes = [...]policy.Outcome{1: policy.Answered, 2: policy.Errored, 3: policy.Rejected, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.ConnectionReset, 7: policy.Cancelled, 8: policy.NeverSent}

// beginRound begins the instance's round of this frame with its first event.
func (in *instance) beginRound() {
	if !in.inRound {
		in.inRound = true
		in.host.inRound = append(in.host.inRound, in)
		in.port.BeginRound(in.host.now)
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
			in.port.WakeUpDue()
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
		in.port.AttemptDone(index, int(attempt), outcomes[outcome/10], report)
	}
	return nil
}

// handleProbeResult ends a health check.
func (in *instance) handleProbeResult(c *cursor) {
	node, result, elapsed := c.node(), c.u8(), c.f64()
	report := in.readReport(c)
	if index, known := in.serverIndex[node]; known && !c.broken {
		in.port.ProbeDone(index, result == 10, elapsed, report)
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
		in.port.UpdateServer(at, int(hall), int(cell), as, size, started)
	}
	if !full {
		return
	}
	for at, was := range seen {
		if !was && in.listed[at] {
			in.listed[at] = false
			in.port.UpdateServer(at, 0, 0, policy.Gone, 0, 0)
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
		in.port.AddSearch(at, kind, customer, until, int(share))
		return
	}
	if search, held := in.searchOfJob[job]; held {
		at := in.newIndex(id)
		in.requestsOf[search] = append(in.requestsOf[search], at)
		in.port.AddShardRequest(search, at, segment, share, work, key)
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
	in.port = settings.FromLines(facts).NewPolicy(in, seed)
	in.beginRound()
}
