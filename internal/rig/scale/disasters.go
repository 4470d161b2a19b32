package scale

import (
	"time"
)

// ZoneResult is how the end of a zone became known, with all its nodes and brokers at once.
type ZoneResult struct {
	Nodes          int     `json:"nodes"`   // that ended
	Brokers        int     `json:"brokers"` // that ended
	NoticedMs      float64 `json:"noticedMs"`
	SilentMs       float64 `json:"silentMs"` // until all nodes took its brokers for silent or gone
	ChangeMs       float64 `json:"changeMs"` // until a change that was sent right after was acknowledged
	BytesANode     float64 `json:"bytesANode"`
	MostBytesANode float64 `json:"mostBytesANode"` // sent by the node that sent most
	CPUMsANode     float64 `json:"cpuMsANode"`     // taken beyond the quiet rate, cores and codec alone
	MostCPUMs      float64 `json:"mostCpuMs"`      // of the node that took most
	Missing        int     `json:"missing"`        // nodes that still held one of the ended ones for a member
}

// CutResult is what became of two regions out of contact, and when they were one fleet again.
type CutResult struct {
	CutS           float64 `json:"cutS"`
	Cut            int     `json:"cut"`       // nodes in the smaller part
	ChangeMs       float64 `json:"changeMs"`  // until a change was acknowledged in the larger part
	ForgottenAt    float64 `json:"forgotten"` // share of pairs of nodes across the cut that had dropped one another at its end
	MembersMs      float64 `json:"membersMs"` // after it healed, until all knew all again
	StateMs        float64 `json:"stateMs"`   // after it healed, until the smaller part had the change
	BytesANode     float64 `json:"bytesANode"`
	MostBytesANode float64 `json:"mostBytesANode"`
	CPUMsANode     float64 `json:"cpuMsANode"` // taken beyond the quiet rate from the cut on, cores and codec alone
	MostCPUMs      float64 `json:"mostCpuMs"`
}

const (
	cutSpan    = 90 * time.Second
	healMost   = 60 * time.Second
	zoneMost   = 40 * time.Second
	changeMost = 10 * time.Second
)

// zoneLost ends all nodes and brokers of the last zone.
func (m *measurement) zoneLost() {
	f := m.fleet
	result := &m.result.Zone
	zone := f.placeOf(f.shape.Zones - 1).zone
	gone := map[string]bool{}
	for _, n := range f.running() {
		if n.place.zone == zone {
			n.kill()
			gone[n.self.NodeId] = true
		}
	}
	lost := map[string]bool{}
	for _, b := range f.brokers {
		if b.place.zone == zone {
			b.silenced = true
			lost[b.id] = true
		}
	}
	result.Nodes, result.Brokers = len(gone), len(lost)
	before, since := f.read(), f.clock.now
	ack := m.changeAfterTrouble()
	result.ChangeMs = milliseconds(ack)
	f.clock.runUntil(zoneMost, everyHalfSecond(f, func() bool {
		if result.NoticedMs == 0 && f.holding(gone) == 0 {
			result.NoticedMs = milliseconds(f.clock.now - since)
		}
		if result.SilentMs == 0 && f.usable(lost) == 0 {
			result.SilentMs = milliseconds(f.clock.now - since)
		}
		return result.NoticedMs > 0 && result.SilentMs > 0
	}))
	result.Missing = f.holding(gone)
	result.BytesANode, result.MostBytesANode = m.bytesSince(before)
	result.CPUMsANode, result.MostCPUMs = m.processorSince(before)
}

// changeAfterTrouble gives how long a change took that was sent right after a trouble.
func (m *measurement) changeAfterTrouble() time.Duration {
	since := m.fleet.clock.now
	m.version++
	_, acknowledged := m.submit(updateCommand(m.version-1, 0, int(m.version)), changeMost)
	return acknowledged - since
}

// bytesSince is what nodes have sent since a reading beyond the quiet rate, on the mean and at most.
func (m *measurement) bytesSince(before reading) (mean, most float64) {
	f := m.fleet
	span := (f.clock.now - before.at).Seconds()
	quiet := m.result.Quiet[RoleNode].SentBytes * span
	running := f.running()
	for _, n := range running {
		counted := n.meter.minus(before.meters[n])
		sent := float64(counted.total().sentBytes)
		mean += (sent - quiet) / float64(len(running))
		most = max(most, sent)
	}
	return mean, most
}

// processorSince is the processor time that nodes have taken since a reading beyond the quiet rate, in ms, on the mean and at most.
func (m *measurement) processorSince(before reading) (mean, most float64) {
	f := m.fleet
	quiet := m.result.Quiet[RoleNode].CPUPercent * 10 * (f.clock.now - before.at).Seconds()
	running := f.running()
	for _, n := range running {
		counted := n.meter.minus(before.meters[n])
		spent := milliseconds(counted.spent())
		mean += (spent - quiet) / float64(len(running))
		most = max(most, spent)
	}
	return mean, most
}

// holding counts the nodes that hold one of the named for a member.
func (f *Fleet) holding(gone map[string]bool) int {
	count := 0
	for _, n := range f.running() {
		for _, member := range n.control.Members() {
			if gone[member.NodeId] {
				count++
				break
			}
		}
	}
	return count
}

// usable counts the nodes that would prefer one of the named brokers as much as others.
func (f *Fleet) usable(lost map[string]bool) int {
	count := 0
	for _, n := range f.running() {
		for id, instance := range n.control.Registry().Table().ByID {
			if lost[id] && !instance.Unresponsive {
				count++
				break
			}
		}
	}
	return count
}

// regionsCut takes the last region out of contact with the others for a while, and lets them meet again.
func (m *measurement) regionsCut() {
	f := m.fleet
	result := &m.result.Cut
	region := f.placeOf(f.shape.Zones - 1).region
	running := f.running()
	apart := 0
	for _, n := range running {
		if n.place.region == region {
			apart++
		}
	}
	result.Cut, result.CutS = apart, cutSpan.Seconds()
	f.cutRegion = region
	cutAt, since := f.read(), f.clock.now
	result.ChangeMs = milliseconds(m.changeAfterTrouble())
	index := f.newestIndex()
	f.clock.runFor(cutSpan - (f.clock.now - since))
	result.ForgottenAt = f.forgotten(region, apart)
	f.cutRegion = ""
	before, since := f.read(), f.clock.now
	f.clock.runUntil(healMost, everyHalfSecond(f, func() bool {
		if result.MembersMs == 0 && f.allMembers(len(running)) {
			result.MembersMs = milliseconds(f.clock.now - since)
		}
		if result.StateMs == 0 && f.allAt(index) {
			result.StateMs = milliseconds(f.clock.now - since)
		}
		return result.MembersMs > 0 && result.StateMs > 0
	}))
	if result.MembersMs == 0 || result.StateMs == 0 {
		m.problem("the regions were not one fleet again %v after the cut", healMost)
	}
	result.BytesANode, result.MostBytesANode = m.bytesSince(before)
	result.CPUMsANode, result.MostCPUMs = m.processorSince(cutAt)
}

// forgotten is the share of pairs across the cut that had dropped one another.
func (f *Fleet) forgotten(region string, apart int) float64 {
	running := f.running()
	dropped := 0
	for _, n := range running {
		others := apart
		if n.place.region == region {
			others = len(running) - apart
		}
		for _, member := range n.control.Members() {
			if (member.Region == region) != (n.place.region == region) {
				others--
			}
		}
		dropped += others
	}
	return float64(dropped) / float64(2*apart*(len(running)-apart))
}

func (f *Fleet) allMembers(count int) bool {
	for _, n := range f.running() {
		if len(n.control.Members()) != count {
			return false
		}
	}
	return true
}

func (f *Fleet) allAt(index uint64) bool {
	for _, n := range f.running() {
		if n.control.State().Index() < index {
			return false
		}
	}
	return true
}
