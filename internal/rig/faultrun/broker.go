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
	brokersAtStart = 5
	model          = "m0"
	loadTime       = 700 * time.Millisecond
	reportLag      = 200 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// broker is a model broker: it announces itself, takes orders and leaves.
type broker struct {
	world    *World
	id       string
	address  string
	zone     string
	sequence uint64
	draining bool
	gone     bool
	home     string        // control address for the next heartbeat; empty: any
	ackedAt  time.Duration // of its word that it leaves; -1: never
	version  uint64
	busy     bool
	orders   uint64
	fence    uint64 // the highest seen
	arrivals []arrival
}

// arrival is an order that reached a broker.
type arrival struct {
	at     time.Duration
	holder string
	fence  uint64
}

// orderBody is what an order says. Source: PROTOCOL.md, "Requests".
type orderBody struct {
	Version uint64 `json:"version"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
}

func (w *World) startBrokers() {
	for i := range brokersAtStart {
		w.after(500*time.Millisecond+time.Duration(i)*50*time.Millisecond, func() { w.addBroker(zoneOf(i)) })
	}
}

func (w *World) addBroker(zone string) {
	number := len(w.brokers) + 1
	b := &broker{
		world: w, id: fmt.Sprintf("i-%d", number), address: fmt.Sprintf("10.0.0.%d:80", number), zone: zone, ackedAt: -1, version: w.checks.weights,
	}
	b.version = max(b.version, 1)
	w.brokers = append(w.brokers, b)
	b.heartbeat()
	w.every(heartbeatTime, func() bool {
		if !b.gone {
			b.heartbeat()
		}
		return !b.gone
	})
}

func (b *broker) instance() *nodepb.Instance {
	state := nodepb.InstanceState_READY
	if b.draining {
		state = nodepb.InstanceState_DRAINING
	}
	b.sequence++
	return &nodepb.Instance{
		Id: b.id, Service: "s", Address: b.address, Zone: b.zone, Slots: 4, State: state, Sequence: b.sequence, Stage: "both",
		Models: []*nodepb.ModelOnInstance{{Name: model, Version: b.version}},
	}
}

// heartbeat announces the broker to its home, or to another machine where that does not answer.
func (b *broker) heartbeat() { b.announce(b.instance(), 4) }

func (b *broker) announce(instance *nodepb.Instance, attempts int) {
	w := b.world
	m := w.pick()
	for _, named := range w.machines {
		if b.home != "" && named.controlAddress() == b.home {
			m = named
		}
	}
	moved := false
	elsewhere := func() {
		b.home = ""
		if !moved && attempts > 1 && !b.gone {
			moved = true
			b.announce(instance, attempts-1)
		}
	}
	w.after(callTimeout, elsewhere)
	w.callMachine(m, elsewhere, func(request uint64) func(core.Time) {
		m.answers[request] = func(answer core.RegistryReply) {
			w.after(w.network.transit(), func() {
				if !answer.Accepted {
					elsewhere()
					return
				}
				moved = true
				b.home = answer.HeartbeatURL
				if instance.State == nodepb.InstanceState_DRAINING && b.ackedAt < 0 {
					b.ackedAt = w.now
					w.logf("%s: drain of %s acknowledged", m.name, b.id)
				}
			})
		}
		return func(now core.Time) { m.carryOut(m.node.Heartbeat(now, request, instance)) }
	})
}

// leave has the broker say that it drains, and end a while after that is acknowledged. at names the machine it tells first.
func (b *broker) leave(at *machine) {
	w := b.world
	if b.draining || b.gone {
		return
	}
	b.draining = true
	if at != nil {
		b.home = at.controlAddress()
	}
	w.logf("%s drains", b.id)
	b.heartbeat()
	w.after(8*time.Second, func() {
		b.gone = true
		w.addBroker(b.zone)
	})
}

// order brings an order of a machine to a broker. It is sent only while it is valid by the machine's clock.
func (w *World) order(m *machine, sent core.SendOrder) {
	life := m.life
	if m.now() >= sent.ValidUntil {
		m.input(func(now core.Time) {
			m.carryOut(m.node.OrderDone(now, sent.Token, 0, fmt.Errorf("%w: too late", rollout.ErrNotSent)))
		})
		return
	}
	w.after(w.network.transit(), func() {
		at := slices.IndexFunc(w.brokers, func(b *broker) bool { return b.id == sent.InstanceID && !b.gone })
		status, err := 0, error(nil)
		if at < 0 {
			err = errNoAnswer
		} else {
			status = w.brokers[at].take(m, sent)
		}
		w.after(w.network.transit(), func() {
			if m.life == life {
				m.input(func(now core.Time) { m.carryOut(m.node.OrderDone(now, sent.Token, status, err)) })
			}
		})
	})
}

// take is a broker that gets an order.
func (b *broker) take(m *machine, sent core.SendOrder) int {
	w := b.world
	var body orderBody
	if err := json.Unmarshal(sent.Body, &body); err != nil {
		w.fail("order that can't be read: %v", err)
	}
	b.judge(m, arrival{at: w.now, holder: m.name, fence: body.Fence})
	switch {
	case w.plan.Fencing && body.Fence < b.fence:
		return http.StatusPreconditionFailed
	case b.version == body.Version:
		return http.StatusOK
	case b.busy:
		return http.StatusConflict
	}
	b.fence = max(b.fence, body.Fence)
	b.busy = true
	b.orders++
	w.after(loadTime+time.Duration(w.random.Int64N(int64(loadTime))), func() {
		b.busy = false
		b.version = body.Version
	})
	return http.StatusAccepted
}

// judge holds an order against the rule ONE. Source: RULES.md, "Model brokers".
func (b *broker) judge(m *machine, next arrival) {
	w := b.world
	if w.now-m.troubleAt < thawTime {
		return
	}
	for _, last := range b.arrivals {
		switch {
		case last.holder != next.holder && last.fence == next.fence:
			w.fail("%s and %s share fence %d at %s", last.holder, next.holder, next.fence, b.id)
		case !w.plan.Fencing && next.fence < last.fence:
			w.fail("fence %d of %s after %d of %s at %s", next.fence, next.holder, last.fence, last.holder, b.id)
		case last.holder != next.holder && next.at-last.at < leaseTime && (!w.plan.Fencing || w.health.inTouch(m)):
			w.fail("%s and %s take turns within %v at %s", last.holder, next.holder, next.at-last.at, b.id)
		}
	}
	b.arrivals = append(b.arrivals, next)
}

// askReport brings a broker's report, as it stood a moment ago, to a machine.
func (w *World) askReport(m *machine, asked core.FetchReport) {
	life := m.life
	w.after(2*w.network.transit(), func() {
		if m.life != life {
			return
		}
		at := slices.IndexFunc(w.brokers, func(b *broker) bool { return b.id == asked.InstanceID && !b.gone })
		if at < 0 {
			m.input(func(now core.Time) { m.carryOut(m.node.ReportDone(now, asked.Token, nil, errNoAnswer)) })
			return
		}
		b := w.brokers[at]
		report := &rollout.Report{
			Stage: "both", Models: []rollout.ReportedModel{{Name: model, Version: b.version}}, Busy: b.busy, Sequence: b.orders,
		}
		w.after(reportLag, func() {
			if m.life == life {
				m.input(func(now core.Time) { m.carryOut(m.node.ReportDone(now, asked.Token, report, nil)) })
			}
		})
	})
}
