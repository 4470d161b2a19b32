package faultrun

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

const (
	initialBrokers = 5
	modelName      = "m0"
	modelLoadTime  = 700 * time.Millisecond
	reportLag      = 200 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// broker is a simulated model server: it sends heartbeats, loads the weights that it is ordered to, and drains.
type broker struct {
	sim             *simulation
	id              string
	address         string
	zone            string
	sequence        uint64
	draining        bool
	deregistered    bool // it sends no heartbeats any more
	terminated      bool
	controlAddress  string        // for the next heartbeat; empty: any machine
	drainAckedAt    time.Duration // of its drain or deregistration; -1: neither was acknowledged
	weightsVersion  uint64
	loading         bool
	orderCount      uint64
	maxFencingToken uint64 // highest fencing token seen
	arrivals        []orderArrival
}

// orderArrival records an order that reached a broker.
type orderArrival struct {
	receivedAt   time.Duration
	leaseHolder  string
	fencingToken uint64
}

// orderBody is the body of an order. Source: PROTOCOL.md, "Requests".
type orderBody struct {
	Version      uint64 `json:"version"`
	LeaseHolder  string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

// startBrokers adds the first brokers, one after another.
func (sim *simulation) startBrokers() {
	for i := range initialBrokers {
		sim.after(500*time.Millisecond+time.Duration(i)*50*time.Millisecond, func() { sim.addBroker(zoneOf(i)) })
	}
}

// addBroker adds a broker, which announces itself until it ends.
func (sim *simulation) addBroker(zone string) {
	number := len(sim.brokers) + 1
	b := &broker{
		sim: sim, id: fmt.Sprintf("i-%d", number), address: fmt.Sprintf("10.0.0.%d:80", number), zone: zone,
		drainAckedAt: -1, weightsVersion: max(sim.checks.ackedWeights, 1),
	}
	sim.brokers = append(sim.brokers, b)
	b.heartbeat()
	sim.every(heartbeatInterval, func() bool {
		if !b.terminated && !b.deregistered {
			b.heartbeat()
		}
		return !b.terminated
	})
}

// instance is the content of the next heartbeat.
func (b *broker) instance() *nodepb.Instance {
	state := nodepb.InstanceState_READY
	if b.draining {
		state = nodepb.InstanceState_DRAINING
	}
	b.sequence++
	return &nodepb.Instance{
		Id: b.id, Service: "s", Address: b.address, Zone: b.zone, Slots: 4, State: state, Sequence: b.sequence, Stage: "both",
		Models: []*nodepb.ModelOnInstance{{Name: modelName, Version: b.weightsVersion}},
	}
}

// heartbeat announces the broker to the machine named last, or to another one where that does not answer.
func (b *broker) heartbeat() { b.announce(b.instance(), 4) }

// announce sends one heartbeat, with at most so many attempts.
func (b *broker) announce(instance *nodepb.Instance, attempts int) {
	sim := b.sim
	m := sim.pickMachine()
	for _, candidate := range sim.machines {
		if b.controlAddress != "" && candidate.controlAddress() == b.controlAddress {
			m = candidate
		}
	}
	finished := false
	retryElsewhere := func() {
		b.controlAddress = ""
		if !finished && attempts > 1 && !b.terminated {
			finished = true
			b.announce(instance, attempts-1)
		}
	}
	sim.after(callTimeout, retryElsewhere)
	sim.callMachine(m, retryElsewhere, func(request uint64) func(core.Time) {
		m.pendingRegistryReplies[request] = func(answer core.RegistryReply) {
			sim.after(sim.network.transitTime(), func() {
				if !answer.Accepted {
					retryElsewhere()
					return
				}
				finished = true
				b.controlAddress = answer.HeartbeatURL
				if instance.State != nodepb.InstanceState_READY && b.drainAckedAt < 0 {
					b.drainAckedAt = sim.now
					sim.logf("%s: %v of %s acknowledged", m.name, instance.State, b.id)
				}
			})
		}
		if instance.State == nodepb.InstanceState_GONE {
			return func(now core.Time) { m.execute(m.node.Deregister(now, request, b.id)) }
		}
		return func(now core.Time) { m.execute(m.node.Heartbeat(now, request, instance)) }
	})
}

// drain has the broker announce that it drains, or deregister without that, and end 8 s later, with a new broker in its zone.
// firstNotified is the machine that the first announcement goes to; nil: as for any heartbeat.
func (b *broker) drain(firstNotified *machine, deregisters bool) {
	sim := b.sim
	if b.draining || b.terminated {
		return
	}
	b.draining = true
	if firstNotified != nil {
		b.controlAddress = firstNotified.controlAddress()
	}
	if deregisters {
		sim.logf("%s deregisters", b.id)
		b.deregistered = true
		b.announce(&nodepb.Instance{Id: b.id, State: nodepb.InstanceState_GONE}, 4)
	} else {
		sim.logf("%s drains", b.id)
		b.heartbeat()
	}
	sim.after(8*time.Second, func() {
		b.terminated = true
		sim.addBroker(b.zone)
	})
}

// deliverOrder sends an order of a machine to a broker, and the result back to the incarnation that
// sent it. An order is sent only while it is valid by the machine's clock.
func (sim *simulation) deliverOrder(m *machine, sent core.SendOrder) {
	incarnation := m.incarnation
	if m.now() >= sent.ValidUntil {
		m.step(func(now core.Time) {
			m.execute(m.node.OrderDone(now, sent.Token, 0, fmt.Errorf("%w: too late", rollout.ErrNotSent)))
		})
		return
	}
	sim.after(sim.network.transitTime(), func() {
		index := slices.IndexFunc(sim.brokers, func(b *broker) bool { return b.id == sent.InstanceID && !b.terminated })
		status, err := 0, error(nil)
		if index < 0 {
			err = errNoAnswer
		} else {
			status = sim.brokers[index].handleOrder(m, sent)
		}
		sim.after(sim.network.transitTime(), func() {
			if m.incarnation == incarnation {
				m.step(func(now core.Time) { m.execute(m.node.OrderDone(now, sent.Token, status, err)) })
			}
		})
	})
}

// handleOrder answers an order with the HTTP status of a model server.
func (b *broker) handleOrder(m *machine, sent core.SendOrder) int {
	sim := b.sim
	var body orderBody
	if err := json.Unmarshal(sent.Body, &body); err != nil {
		sim.fail("order can't be decoded: %v", err)
	}
	b.checkExclusivity(m, orderArrival{receivedAt: sim.now, leaseHolder: m.name, fencingToken: body.FencingToken})
	switch {
	case sim.plan.Fencing && body.FencingToken < b.maxFencingToken:
		return http.StatusPreconditionFailed
	case b.weightsVersion == body.Version:
		return http.StatusOK
	case b.loading:
		return http.StatusConflict
	}
	b.maxFencingToken = max(b.maxFencingToken, body.FencingToken)
	b.loading = true
	b.orderCount++
	sim.after(modelLoadTime+time.Duration(sim.random.Int64N(int64(modelLoadTime))), func() {
		b.loading = false
		b.weightsVersion = body.Version
	})
	return http.StatusAccepted
}

// checkExclusivity checks that orders of two lease holders don't interleave. Source: RULES.md, "Model brokers".
func (b *broker) checkExclusivity(m *machine, next orderArrival) {
	sim := b.sim
	if sim.now-m.faultChangedAt < thawGrace {
		return
	}
	for _, previous := range b.arrivals {
		switch {
		case previous.leaseHolder != next.leaseHolder && previous.fencingToken == next.fencingToken:
			sim.fail("%s and %s share fencing token %d at %s", previous.leaseHolder, next.leaseHolder, next.fencingToken, b.id)
		case !sim.plan.Fencing && next.fencingToken < previous.fencingToken:
			sim.fail("fencing token %d of %s after %d of %s at %s",
				next.fencingToken, next.leaseHolder, previous.fencingToken, previous.leaseHolder, b.id)
		case previous.leaseHolder != next.leaseHolder && next.receivedAt-previous.receivedAt < leaseDuration &&
			(!sim.plan.Fencing || sim.health.inContact(m)):
			sim.fail("orders of %s and %s within %v at %s",
				previous.leaseHolder, next.leaseHolder, next.receivedAt-previous.receivedAt, b.id)
		}
	}
	b.arrivals = append(b.arrivals, next)
}

// deliverReport sends a broker's report to the incarnation of a machine that asked for it. It is
// reportLag old as it arrives.
func (sim *simulation) deliverReport(m *machine, request core.FetchReport) {
	incarnation := m.incarnation
	sim.after(2*sim.network.transitTime(), func() {
		if m.incarnation != incarnation {
			return
		}
		index := slices.IndexFunc(sim.brokers, func(b *broker) bool { return b.id == request.InstanceID && !b.terminated })
		if index < 0 {
			m.step(func(now core.Time) { m.execute(m.node.ReportDone(now, request.Token, nil, errNoAnswer)) })
			return
		}
		b := sim.brokers[index]
		report := &rollout.Report{
			Stage: "both", Models: []rollout.ReportedModel{{Name: modelName, Version: b.weightsVersion}},
			Busy: b.loading, Sequence: b.orderCount,
		}
		sim.after(reportLag, func() {
			if m.incarnation == incarnation {
				m.step(func(now core.Time) { m.execute(m.node.ReportDone(now, request.Token, report, nil)) })
			}
		})
	})
}
