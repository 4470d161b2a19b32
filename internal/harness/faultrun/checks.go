package faultrun

import (
	"hash/crc32"
	"net/http"
	"slices"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// acknowledgement is an acknowledged change, as it reached its operator.
type acknowledgement struct {
	receivedAt time.Duration
	version    uint64
	id         string
}

// checks compares the behaviour of the nodes with the promises of the pages.
type checks struct {
	sim               *simulation
	acknowledgements  []acknowledgement // in order of arrival; versions rise
	ackedByBase       map[uint64]string // order ID by the version that it builds on
	ackedByVersion    map[uint64]string // order ID by the version that it made
	rejectedStatus    map[string]int    // by order ID
	accepted          map[string]bool   // order IDs that a machine answered 200, whether or not that arrived
	acceptedAt        time.Duration     // when a machine last answered 200 to an order
	stateChecksums    map[uint64]uint32 // by index of the state
	answerLossRate    float64
	answerLossEndedAt time.Duration    // when answers were last lost
	ackedWeights      uint64           // newest acknowledged version of the weights
	onAck             func(m *machine) // runs once, as a machine acknowledges a change
	maxOrderWait      time.Duration    // for an acknowledgement
}

// newChecks has seen nothing yet.
func newChecks(sim *simulation) *checks {
	return &checks{
		sim:            sim,
		ackedByBase:    map[uint64]string{},
		ackedByVersion: map[uint64]string{},
		rejectedStatus: map[string]int{},
		accepted:       map[string]bool{},
		stateChecksums: map[uint64]uint32{},
	}
}

// newestAcked is the highest version acknowledged so far.
func (c *checks) newestAcked() uint64 { return c.ackedBefore(c.sim.now) }

// ackedBefore is the highest version acknowledged at a moment or before.
func (c *checks) ackedBefore(moment time.Duration) uint64 {
	for _, ack := range slices.Backward(c.acknowledgements) {
		if ack.receivedAt <= moment {
			return ack.version
		}
	}
	return 0
}

// answered is called as a machine answers an order, whether or not that arrives. An order must not
// be both accepted and rejected.
func (c *checks) answered(m *machine, sent *operatorOrder, status int) {
	sim := c.sim
	switch {
	case status == http.StatusOK:
		c.accepted[sent.id] = true
		c.acceptedAt = sim.now
		if earlier, rejected := c.rejectedStatus[sent.id]; rejected {
			sim.fail("%s acknowledges %s, which was answered %d before", m.name, sent.id, earlier)
		}
		if hook := c.onAck; hook != nil {
			c.onAck = nil
			hook(m)
		}
	case status/100 == 4:
		c.rejectedStatus[sent.id] = status
		if c.accepted[sent.id] {
			sim.fail("%s answers %d to %s, which was accepted", m.name, status, sent.id)
		}
		if status == http.StatusBadRequest && sent.version > sent.baseVersion {
			sim.fail("%s calls %s invalid, which builds on %d with version %d", m.name, sent.id, sent.baseVersion, sent.version)
		}
	}
}

// notAcknowledged is called as a machine answers 503 to an order that reached it at a moment. A machine within a set that must
// acknowledge may do so while the set changes its view; but ackTimeout after the first such answer orders are acknowledged again.
func (c *checks) notAcknowledged(m *machine, sent *operatorOrder, arrivedAt time.Duration) {
	if m.unavailableSince <= c.acceptedAt {
		m.unavailableSince = arrivedAt
	}
	if arrivedAt-m.unavailableSince >= ackTimeout && c.sim.health.mustAcknowledge(m, m.unavailableSince) {
		c.sim.fail("%s answers 503 to %s; it has been in a connected majority with working disks for %v, in which nothing was acknowledged",
			m.name, sent.id, c.sim.now-m.unavailableSince)
	}
}

// acknowledged is called as an acknowledgement reaches its operator. At most one change may be acknowledged on a version, and one as
// a version.
func (c *checks) acknowledged(sent *operatorOrder) {
	sim := c.sim
	if other, ok := c.ackedByBase[sent.baseVersion]; ok && other != sent.id {
		sim.fail("%s and %s are both acknowledged on version %d", other, sent.id, sent.baseVersion)
	}
	if other, ok := c.ackedByVersion[sent.version]; ok && other != sent.id {
		sim.fail("%s and %s are both acknowledged as version %d", other, sent.id, sent.version)
	}
	c.ackedByBase[sent.baseVersion], c.ackedByVersion[sent.version] = sent.id, sent.id
	version := sent.version
	if len(c.acknowledgements) > 0 {
		version = max(version, c.acknowledgements[len(c.acknowledgements)-1].version)
	}
	c.acknowledgements = append(c.acknowledgements, acknowledgement{receivedAt: sim.now, version: version, id: sent.id})
}

// stateChanged is called as a node replaces its state. The index must not go back, and states of one index must be equal.
func (c *checks) stateChanged(m *machine) {
	sim := c.sim
	state := m.node.State()
	if state.Index() < m.stateIndex {
		sim.fail("%s goes from state %d to %d", m.name, m.stateIndex, state.Index())
	}
	m.stateIndex = state.Index()
	sum := crc32.ChecksumIEEE(state.Snapshot())
	if known, ok := c.stateChecksums[state.Index()]; ok && known != sum {
		sim.fail("%s has another state %d than others", m.name, state.Index())
	}
	c.stateChecksums[state.Index()] = sum
}

// checkRead decodes the answer to a read, if it has a configuration. The version must be at least minVersion, the newest that was
// acknowledged when the read was sent, and made by an order that was not rejected.
func (c *checks) checkRead(m *machine, reply core.Reply, minVersion uint64) (configDocument, bool) {
	sim := c.sim
	if reply.State == nil || len(reply.State.GetState()) == 0 {
		return configDocument{}, false
	}
	read, found, err := decodeDocument(reply.State.GetState())
	switch {
	case err != nil:
		sim.fail("%s reads a state that can't be decoded: %v", m.name, err)
	case !found && minVersion > 0:
		sim.fail("%s reads no configuration, but %d was acknowledged", m.name, minVersion)
	case read.Version < minVersion:
		sim.fail("%s reads version %d, but %d was acknowledged before", m.name, read.Version, minVersion)
	}
	if id, ok := c.ackedByVersion[read.Version]; ok && id != read.OrderID {
		sim.fail("%s reads %s as version %d, but %s was acknowledged", m.name, read.OrderID, read.Version, id)
	}
	if status, rejected := c.rejectedStatus[read.OrderID]; rejected {
		sim.fail("%s reads %s, which was answered %d", m.name, read.OrderID, status)
	}
	return read, found
}

// sample checks what each node's data plane would do now.
func (c *checks) sample() {
	sim := c.sim
	sim.health.sample()
	minServedVersion := c.ackedBefore(sim.now - revokeTimeout)
	minAppliedVersion := c.ackedBefore(sim.now - applyTimeout)
	for _, m := range sim.machines {
		if !m.isUp() || m.node == nil {
			continue
		}
		inContact := sim.health.inContact(m)
		compiled := m.node.Compiled()
		confirmed, _ := m.node.ConfirmedAt()
		serves := !m.node.CoreUnableToConfirm(m.now()) && controlBounds(sim).MayServe(m.now(), compiled, confirmed, false)
		if sim.plan.GlobalRevocation && serves && compiled.Version < minServedVersion {
			sim.fail("%s serves keys of version %d, %d was acknowledged over %v ago",
				m.name, compiled.Version, minServedVersion, revokeTimeout)
		}
		if inContact && serves && versionOf(compiled) < minAppliedVersion {
			sim.fail("%s is in contact with version %d, %d was acknowledged over %v ago",
				m.name, versionOf(compiled), minAppliedVersion, applyTimeout)
		}
		if inContact && !serves && minAppliedVersion > 0 && !sim.health.maySuspendService() {
			sim.fail("%s is in contact and does not serve", m.name)
		}
		c.checkDrains(m, inContact)
	}
	c.checkOrders()
}

// versionOf is the version of a configuration; 0: none.
func versionOf(compiled *config.Compiled) uint64 {
	if compiled == nil {
		return 0
	}
	return compiled.Version
}

// checkDrains checks that no machine in contact uses a broker whose drain was acknowledged drainTimeout ago.
func (c *checks) checkDrains(m *machine, inContact bool) {
	sim := c.sim
	for _, b := range sim.brokers {
		if !inContact || b.drainAckedAt < 0 || sim.now < b.drainAckedAt+drainTimeout {
			continue
		}
		if instance := m.node.Registry().Table().ByID[b.id]; instance != nil && instance.Usable() {
			sim.fail("%s still uses %s, whose drain was acknowledged %v ago", m.name, b.id, sim.now-b.drainAckedAt)
		}
	}
}

// checkOrders checks that an order is answered within ackTimeout of a time in which the core is stable.
func (c *checks) checkOrders() {
	sim := c.sim
	for _, o := range sim.operators {
		sent := o.currentOrder
		if sent == nil || sent.finished {
			continue
		}
		c.maxOrderWait = max(c.maxOrderWait, sim.now-sent.sentAt)
		if sim.health.stableSince < 0 || sim.health.maySuspendService() || c.answerLossRate > 0 {
			continue
		}
		if waited := sim.now - max(sent.sentAt, sim.health.stableSince, c.answerLossEndedAt); waited > ackTimeout {
			sim.fail("%s has no answer after %v in which the core was stable", sent.id, waited)
		}
	}
}
