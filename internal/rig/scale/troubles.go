package scale

import (
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/nodepb"
)

// sentBeyond is what the nodes of a role sent since a reading, a node, beyond what they send in quiet times.
func (m *measurement) sentBeyond(role Role, before reading) (messages, bytes, cpuSeconds float64) {
	span := (m.fleet.clock.now - before.at).Seconds()
	rate, quiet := m.fleet.since(before)[role], m.result.Quiet[role]
	return (rate.Sent - quiet.Sent) * span, (rate.SentBytes - quiet.SentBytes) * span, (rate.CPUPercent - quiet.CPUPercent) / 100 * span
}

// changes exchanges the keys of some tenants, one after the other.
func (m *measurement) changes() {
	f := m.fleet
	result := &m.result.Changes
	before := f.read()
	for round := 1; round <= changeCount; round++ {
		begun := f.clock.now
		spread, ack := m.change(updateCommand(m.version, round%f.shape.Tenants, round), changeSpan)
		result.AckMs += milliseconds(ack) / changeCount
		if spread.LastMs > result.Everywhere.LastMs || spread.Missing > 0 {
			result.Everywhere = spread
		}
		f.clock.runFor(changeSpan - min(f.clock.now-begun, changeSpan))
	}
	result.Count = changeCount
	_, bytes, cpu := m.sentBeyond(RoleProxy, before)
	_, _, headCPU := m.sentBeyond(RoleHead, before)
	result.BytesANode, result.CPUMsANode, result.HeadCPUMs = bytes/changeCount, 1000*cpu/changeCount, 1000*headCPU/changeCount
	for _, n := range f.nodes[:f.shape.Core] {
		counted := n.meter.minus(before.meters[n])
		result.JournalBytesA += float64(counted.stored) / changeCount / float64(f.shape.Core)
	}
}

// drain has a broker say that it leaves.
func (m *measurement) drain() {
	f := m.fleet
	b := f.brokers[0]
	home := f.byControl[b.home]
	if home == nil {
		m.problem("broker %s has no home", b.id)
		return
	}
	before := f.read()
	since := f.clock.now
	acknowledged := time.Duration(0)
	b.state = nodepb.InstanceState_DRAINING
	b.announce(func() { acknowledged = f.clock.now })
	f.clock.runUntil(drainSpan, func() bool { return acknowledged != 0 })
	m.result.Brokers.AckMs = milliseconds(acknowledged - since)
	f.clock.runFor(drainSpan)
	counted := home.meter.minus(before.meters[home])
	update := counted.kinds[kindInstanceUpdate]
	m.result.Brokers.MessagesAHome, m.result.Brokers.BytesAHome = float64(update.sent), float64(update.sentBytes)
	_, m.result.Brokers.BytesANode, _ = m.sentBeyond(RoleNode, before)
	b.state = nodepb.InstanceState_READY // it stays draining for the nodes, whatever it says
}

// campaign names new weights of a model.
func (m *measurement) campaign() {
	f := m.fleet
	model := modelName(1 % f.shape.Services)
	var brokers []*standInBroker
	for _, b := range f.brokers {
		if b.model == model {
			brokers = append(brokers, b)
		}
	}
	f.versions[model] = 2
	before := f.read()
	since := f.clock.now
	m.submit(versionCommand(model, 2), campaignMost)
	loaded := f.clock.runUntil(campaignMost, func() bool {
		for _, b := range brokers {
			if b.version < 2 {
				return false
			}
		}
		return true
	})
	if !loaded {
		m.problem("not all %d brokers of %s had new weights after %v", len(brokers), model, campaignMost)
	}
	result := &m.result.Campaign
	result.Brokers, result.LoadedMs = len(brokers), milliseconds(f.clock.now-since)
	result.HeadMessages, result.HeadBytes, _ = m.sentBeyond(RoleHead, before)
	result.HeadCPUPercent = f.since(before)[RoleHead].CPUPercent
	_, result.BytesANode, _ = m.sentBeyond(RoleNode, before)
	f.clock.runFor(calmAfterLoad)
}

// losses has a share of the messages get lost, and counts false alarms.
func (m *measurement) losses() {
	f := m.fleet
	result := &m.result.Loss
	result.Share, result.SpanS = lossShare, m.spans.Loss.Seconds()
	suspects := map[[2]string]bool{}
	suspected := map[string]bool{}
	f.watch.silent = map[string]bool{}
	f.loss = lossShare
	before := f.read()
	for end := f.clock.now + m.spans.Loss; f.clock.now < end; {
		f.clock.runFor(sampleEach)
		result.Suspicions += f.newSuspicions(suspects, suspected)
	}
	result.SentBytesANode = f.since(before)[RoleNode].SentBytes
	f.loss = 0
	result.Suspected = len(suspected)
	result.SilentBrokers = len(f.watch.silent)
	f.watch.silent = nil
	running := len(f.running())
	for _, n := range f.running() {
		result.Deaths += max(0, running-len(n.control.Members()))
	}
	f.clock.runFor(calmAfterLoad)
}

// newSuspicions counts suspicions that were not there at the last look.
func (f *Fleet) newSuspicions(suspects map[[2]string]bool, suspected map[string]bool) int {
	count := 0
	for _, n := range f.running() {
		for _, member := range n.control.Members() {
			pair := [2]string{n.self.NodeId, member.NodeId}
			is := member.State == nodepb.MemberState_SUSPECT
			if is && !suspects[pair] {
				count++
				suspected[member.NodeId] = true
				suspects[pair] = true
			} else if !is && suspects[pair] {
				delete(suspects, pair)
			}
		}
	}
	return count
}

// death kills a proxy.
func (m *measurement) death() {
	f := m.fleet
	victim := f.nodes[len(f.nodes)-1]
	before := f.read()
	since := f.clock.now
	f.watch.dead, f.watch.noticed = victim.self.NodeId, map[*node]time.Duration{}
	victim.kill()
	running := len(f.running())
	f.clock.runFor(deathSpan)
	m.result.Death.Noticed = spreadOf(since, f.watch.noticed, running)
	_, m.result.Death.BytesANode, _ = m.sentBeyond(RoleNode, before)
	f.watch.dead = ""
}

// coreLoss kills a machine in the middle of the chain, and then its head, and sends a change right after each.
func (m *measurement) coreLoss() {
	f := m.fleet
	m.result.CoreLoss.MiddleMs = m.loseCore(chain.Middle)
	f.clock.runFor(deathSpan)
	m.result.CoreLoss.HeadMs = m.loseCore(chain.Head)
}

func (m *measurement) loseCore(role chain.MemberRole) float64 {
	f := m.fleet
	for _, n := range f.nodes[:f.shape.Core] {
		if n.running && n.role() == role {
			n.kill()
			break
		}
	}
	m.version++
	_, ack := m.change(updateCommand(m.version-1, 0, int(m.version)), coreLossMost)
	return milliseconds(ack)
}
