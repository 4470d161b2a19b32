package scale

import (
	"fmt"
	"net/http"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

// standInBroker is a scripted model broker: it sends heartbeats, takes orders and tells of the parts it keeps.
type standInBroker struct {
	fleet    *Fleet
	id       string
	service  string
	model    string
	place    place
	address  string
	version  uint64
	sequence uint64
	state    nodepb.InstanceState
	home     string // control address that the last acknowledgement named
	silenced bool   // it has crashed
	loading  bool
	kept     keptParts
}

const (
	// loadOfWeights is how long a broker takes to load new weights.
	loadOfWeights = 760 * time.Millisecond
	// ackTimeout is how long an acknowledgement may take, and beatRetry how soon a broker calls another node then.
	ackTimeout = time.Second
	beatRetry  = 100 * time.Millisecond
	// heartbeatBytes is what a heartbeat and its acknowledgement take as HTTP, each about.
	heartbeatBytes       = 470
	acknowledgementBytes = 190
	slotsOfBroker        = 32
)

func (f *Fleet) addBroker(i int) {
	service := i % f.shape.Services
	b := &standInBroker{
		fleet: f, id: fmt.Sprintf("i-%012x", f.random.Uint64()>>16), service: serviceName(service), model: modelName(service),
		place: f.placeOf(i / f.shape.Services), version: 1, address: fmt.Sprintf("10.100.%d.%d:9000", i/250, i%250+1),
	}
	b.kept = newKeptParts(b, f.random.Uint64())
	f.brokers = append(f.brokers, b)
	f.byBroker[b.address] = b
}

func serviceName(i int) string { return fmt.Sprintf("assistant-%02d", i+1) }
func modelName(i int) string   { return fmt.Sprintf("assistant-%02d-70b", i+1) }

func (b *standInBroker) instance() *nodepb.Instance {
	b.sequence++
	return &nodepb.Instance{
		Id: b.id, Service: b.service, Address: b.address, Zone: b.place.zone, Software: "engine-7.2", Slots: slotsOfBroker,
		State: b.state, Sequence: b.sequence, Stage: "both",
		Models: []*nodepb.ModelOnInstance{{Name: b.model, Version: b.version}},
	}
}

// beat sends a heartbeat, and plans the next.
func (b *standInBroker) beat() {
	if b.silenced {
		return
	}
	b.fleet.clock.after(Heartbeat, b.beat)
	b.announce(nil)
}

// announce sends a heartbeat until a node acknowledges it; acknowledged may be nil.
func (b *standInBroker) announce(acknowledged func()) {
	f := b.fleet
	if b.silenced {
		return
	}
	to := f.byControl[b.home]
	if to == nil {
		to = f.anyNode()
	}
	answered := false
	f.clock.after(delayOfBroker, func() {
		if !to.running {
			return
		}
		to.heartbeat(b.instance(), func(answer core.RegistryReply) {
			f.clock.after(delayOfBroker, func() {
				if answered || !answer.Accepted {
					return
				}
				answered = true
				if answer.HeartbeatURL != "" {
					b.home = answer.HeartbeatURL
				}
				if acknowledged != nil {
					acknowledged()
				}
			})
		})
	})
	f.clock.after(b.patience(to), func() {
		if !answered {
			answered = true
			b.home = ""
			b.announce(acknowledged)
		}
	})
}

// patience: a node whose process is gone turns the connection down at once.
func (b *standInBroker) patience(to *node) time.Duration {
	if !to.running {
		return beatRetry
	}
	return ackTimeout
}

// heartbeat takes a broker's call at the node's own API.
func (n *node) heartbeat(instance *nodepb.Instance, answered func(core.RegistryReply)) {
	n.last++
	n.callers[n.last] = answered
	n.meter.calls.received++
	n.meter.calls.receivedBytes += heartbeatBytes
	n.meter.calls.sentBytes += acknowledgementBytes
	request := n.last
	n.turn(&n.meter.calls.spent, func(now core.Time) { n.carryOut(now, n.control.Heartbeat(now, request, instance)) })
}

// order brings an order of the duty's holder to a broker.
func (f *Fleet) order(n *node, order core.SendOrder) {
	b := f.byBroker[order.Address]
	f.clock.after(delayOfBroker, func() {
		if b == nil || b.silenced {
			return
		}
		b.load()
		f.clock.after(delayOfBroker, func() {
			if n.running {
				n.turn(&n.meter.ticks, func(now core.Time) {
					n.carryOut(now, n.control.OrderDone(now, order.Token, http.StatusAccepted, nil))
				})
			}
		})
	})
}

// load takes the newest named weights.
func (b *standInBroker) load() {
	if b.loading {
		return
	}
	b.loading = true
	newest := b.fleet.versions[b.model]
	b.fleet.clock.after(loadOfWeights, func() {
		b.loading = false
		b.version = newest
	})
}

// askReport brings a broker's report to the duty's holder.
func (f *Fleet) askReport(n *node, ask core.FetchReport) {
	b := f.byBroker[ask.Address]
	f.clock.after(2*delayOfBroker, func() {
		if b == nil || b.silenced || !n.running {
			return
		}
		report := &rollout.Report{Stage: "both", Busy: b.loading, Models: []rollout.ReportedModel{{Name: b.model, Version: b.version}}}
		n.turn(&n.meter.ticks, func(now core.Time) { n.carryOut(now, n.control.ReportDone(now, ask.Token, report, nil)) })
	})
}
