package simwire

import (
	"fmt"
	"math"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/settings"
)

// outcomes maps the outcome in a Done record, divided by 10, to that of package policy.
var outcomes = [...]policy.Outcome{1: policy.Answered, 2: policy.Errored, 3: policy.Rejected, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.ConnectionReset, 7: policy.Cancelled, 8: policy.NeverSent}

// beginRound begins the policy's round of this frame, unless an earlier event did.
func (in *instance) beginRound() {
	if !in.inRound {
		in.inRound = true
		in.host.instancesInRound = append(in.host.instancesInRound, in)
		in.policy.BeginRound(in.host.now)
	}
}

// handleEvent parses the fields of one event and passes it to the instance's policy. The caller checks c
// for an event that overruns its frame.
func (in *instance) handleEvent(code uint16, c *cursor) error {
	if code == eventEnlist {
		seed, length := c.u64(), c.u32()
		facts := c.bytes(int(min(length, math.MaxInt32)))
		if !c.overrun {
			in.startPolicy(seed, string(facts))
		}
		return nil
	}
	if !in.alive {
		return fmt.Errorf("aggregator %d has no Enlist record", in.number)
	}
	if code == eventTeardown {
		in.alive, in.inRound, in.policy = false, false, nil
		return nil
	}
	in.beginRound()
	switch code {
	case eventUpdate:
		return in.handleUpdate(c)
	case eventInbound:
		in.handleInbound(c)
	case eventDone:
		return in.handleDone(c)
	case eventLapsed:
		if index, known := in.indexOf[c.u64()]; known && !c.overrun {
			in.policy.ClientGone(index)
		}
	case eventProbeResult:
		in.handleProbeResult(c)
	case eventAckFirst:
		c.bytes(8 + 2 + 6 + 8)
	case eventPeer:
		c.u32()
		c.bytes(int(c.u16()))
	case eventBell:
		c.u64()
		if !c.overrun {
			in.policy.WakeUpDue()
		}
	}
	return nil
}

// handleUpdate applies a server list, or tells the policy that asking for it failed.
func (in *instance) handleUpdate(c *cursor) error {
	list, _, kind := c.u8(), c.u32(), c.u8()
	if c.overrun {
		return nil
	}
	if kind == updateFailed {
		in.policy.DiscoveryFailed()
		return nil
	}
	if int(list) >= len(in.host.lists) || kind > updateFailed {
		return fmt.Errorf("invalid list number %d or update kind %d", list, kind)
	}
	in.applyRows(in.host.lists[list], kind != updateChanges)
	return nil
}

// handleDone tells the policy how an attempt ended. Attempts of forgotten searches are ignored.
func (in *instance) handleDone(c *cursor) error {
	id, outcome, _, attempt, _, _ := c.u64(), c.u8(), c.serverID(), c.u16(), c.u8(), c.f64()
	report := in.readReport(c)
	if c.overrun {
		return nil
	}
	if outcome%10 != 0 || outcome == 0 || int(outcome/10) >= len(outcomes) {
		return fmt.Errorf("shard request %d: invalid outcome %d", id, outcome)
	}
	if index, known := in.indexOf[id]; known {
		in.policy.AttemptDone(index, int(attempt), outcomes[outcome/10], report)
	}
	return nil
}

// handleProbeResult tells the policy the result of a health check.
func (in *instance) handleProbeResult(c *cursor) {
	node, result, elapsed := c.serverID(), c.u8(), c.f64()
	report := in.readReport(c)
	if index, known := in.serverIndex[node]; known && !c.overrun {
		in.policy.ProbeDone(index, result == probeSucceeded, elapsed, report)
	}
}

// readReport parses the values of a load report. They are valid until the next call.
func (in *instance) readReport(c *cursor) []float64 {
	count := int(c.u8())
	in.report = in.report[:0]
	for i := 0; i < count && !c.overrun; i++ {
		in.report = append(in.report, c.f32())
	}
	return in.report
}

// applyRows passes the servers in the rows of a list to the policy. If the list is full, listed servers that
// it does not name are gone.
func (in *instance) applyRows(rows []byte, full bool) {
	seen := make([]bool, len(in.serverIDs), len(in.serverIDs)+len(rows)/rowSize)
	c := &cursor{frame: rows}
	for c.offset < len(rows) {
		node, zone, _, position, state := c.serverID(), c.u8(), c.u8(), c.u16(), c.u8()
		capacity, started := c.f32(), c.f64()
		index, known := in.serverIndex[node]
		if !known {
			index = len(in.serverIDs)
			in.serverIndex[node] = index
			in.serverIDs = append(in.serverIDs, node)
			in.listed = append(in.listed, false)
			seen = append(seen, false)
		}
		serverState := policy.Ready
		switch state {
		case rowDraining:
			serverState = policy.Draining
		case rowGone:
			serverState = policy.Gone
		}
		seen[index], in.listed[index] = true, serverState != policy.Gone
		in.policy.UpdateServer(index, int(zone), int(position), serverState, capacity, started)
	}
	if !full {
		return
	}
	for index, named := range seen {
		if !named && in.listed[index] {
			in.listed[index] = false
			in.policy.UpdateServer(index, 0, 0, policy.Gone, 0, 0)
		}
	}
}

// handleInbound passes a new search to the policy, or a shard request of one. A negative segment marks a
// search; its share field holds the number of its shard requests. The job number links the two.
func (in *instance) handleInbound(c *cursor) {
	id, queryType, customer, key, deadline, work := c.u64(), int(c.u8()), int(c.u16()), c.u64(), c.f64(), c.f64()
	job, segment, share, flags := float32(c.f32()), int(c.f32()), c.f32(), c.u8()
	if c.overrun {
		return
	}
	if flags&hasWorkHint == 0 {
		work = 0
	}
	if segment < 0 {
		index := in.newIndex(id)
		in.searchOfJob[job], in.jobOfSearch[index] = index, job
		in.policy.AddSearch(index, queryType, customer, deadline, int(share))
		return
	}
	if search, known := in.searchOfJob[job]; known {
		index := in.newIndex(id)
		in.requestsOf[search] = append(in.requestsOf[search], index)
		in.policy.AddShardRequest(search, index, segment, share, work, key)
	}
}

// newIndex assigns an index to the wire id of a search or shard request.
func (in *instance) newIndex(id uint64) int {
	index := len(in.idOf)
	if n := len(in.freeIndices); n > 0 {
		index, in.freeIndices = in.freeIndices[n-1], in.freeIndices[:n-1]
		in.idOf[index] = id
	} else {
		in.idOf = append(in.idOf, id)
	}
	in.indexOf[id] = index
	return index
}

// startPolicy resets the instance and creates its policy from the settings in facts.
func (in *instance) startPolicy(seed uint64, facts string) {
	*in = instance{number: in.number, host: in.host, alive: true, indexOf: map[uint64]int{},
		searchOfJob: map[float32]int{}, jobOfSearch: map[int]float32{}, requestsOf: map[int][]int{}, serverIndex: map[[6]byte]int{}}
	in.policy = settings.FromLines(facts).NewPolicy(in, seed)
	in.beginRound()
}
