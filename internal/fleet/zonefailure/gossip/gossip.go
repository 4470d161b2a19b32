// Package gossip exchanges observations of sites among aggregators, in installations that allow traffic between them. It uses the
// gossip protocol of memberlist on an address of its own. It delivers each report with the name of the peer that made it and its
// age; internal/fleet/zonefailure decides what weight the report has. Nothing waits for a report: without gossip, aggregators
// decide by their own observations alone. On the platform, which forbids traffic between aggregators, gossip is off.
//
// A report is delivered at most once, and never after a newer one of the same peer about the same site, except after the table of
// seen sequence numbers has overflowed. A report may be lost, so observations that still hold are sent again.
package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Options configure one aggregator's membership.
type Options struct {
	Name   string         // name of this member, unique among the members
	Listen netip.AddrPort // address for gossip traffic, also advertised to the other members
	Join   []string       // addresses of some other members; one that can be reached is enough
	Key    []byte         // encryption key of 16, 24 or 32 bytes; nil: unencrypted
	// RedirectedAddresses maps the address that a peer advertises to the one at which this member reaches it, for example through
	// a tunnel or, in tests, over a faulty link.
	RedirectedAddresses map[string]string
	OnReport            func(r Report) // called with each new report of a peer
	ResendInterval      time.Duration  // 0: defaultResendInterval
}

const (
	defaultResendInterval = time.Second

	// maxSeenReports is the maximum number of pairs of peer and site whose latest sequence number is kept. When it is reached,
	// all are deleted, and a report that was seen before may be delivered and passed on once more.
	maxSeenReports = 8192

	// healthyResendSpan is how long the observation that a site is healthy is sent again. By then all members have received it.
	healthyResendSpan = 5 * time.Second

	// reclaimAfter is the time since a member's failure after which its name may be used with another address.
	reclaimAfter = 10 * time.Second

	// leaveTimeout is how long Close waits until the other members are notified that this one leaves.
	leaveTimeout = 200 * time.Millisecond
)

// Gossip is one aggregator's membership in the gossip protocol.
type Gossip struct {
	options Options
	members atomic.Pointer[memberlist.Memberlist] // nil until memberlist.Create has returned
	queue   *memberlist.TransmitLimitedQueue

	lock            sync.Mutex
	ownObservations map[int]observation // latest own observation of each site
	seenSequences   map[string]int64    // latest sequence number received, by broadcastKey
	lastSequence    int64               // sequence number of the latest own report

	stop      chan struct{} // closed by Close
	stopOnce  sync.Once
	Malformed int // number of messages that could not be parsed
}

// observation is what this aggregator has observed of a site, and when.
type observation struct {
	lost   bool
	seenAt time.Time
}

// Start starts a member and has it join the others in the background. It is no error if none can be reached yet, as aggregators
// start in any order.
func Start(options Options) (*Gossip, error) {
	g := newGossip(options)
	config, err := g.memberlistConfig()
	if err != nil {
		return nil, fmt.Errorf("gossip: configure member %q on %v: %w", options.Name, options.Listen, err)
	}
	members, err := memberlist.Create(config)
	if err != nil {
		return nil, fmt.Errorf("gossip: start member %q on %v: %w", options.Name, options.Listen, err)
	}
	g.members.Store(members)
	go g.run()
	return g, nil
}

// newGossip returns a member that has not joined yet. memberlist.Create starts goroutines that call the delegate before it
// returns, so newGossip sets up the queue and everything else that the delegate uses.
func newGossip(options Options) *Gossip {
	if options.ResendInterval <= 0 {
		options.ResendInterval = defaultResendInterval
	}
	g := &Gossip{
		options:         options,
		ownObservations: map[int]observation{},
		seenSequences:   map[string]int64{},
		lastSequence:    time.Now().UnixNano(),
		stop:            make(chan struct{}),
	}
	g.queue = &memberlist.TransmitLimitedQueue{
		NumNodes:       g.Members,
		RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult,
	}
	return g
}

// memberlistConfig returns the configuration of memberlist for the options. It opens the redirecting transport if addresses are
// redirected.
func (g *Gossip) memberlistConfig() (*memberlist.Config, error) {
	config := memberlist.DefaultLANConfig()
	config.Name = g.options.Name
	config.BindAddr = g.options.Listen.Addr().String()
	config.BindPort = int(g.options.Listen.Port())
	config.AdvertiseAddr = config.BindAddr
	config.AdvertisePort = config.BindPort
	config.LogOutput = io.Discard
	config.Delegate = (*delegate)(g)
	config.SecretKey = g.options.Key
	config.DeadNodeReclaimTime = reclaimAfter
	if len(g.options.RedirectedAddresses) == 0 {
		return config, nil
	}
	var err error
	config.Transport, err = newRedirectingTransport(config, g.options.RedirectedAddresses)
	return config, err
}

// run tries to join while no other member is known, and resends observations that still hold. Close stops it.
func (g *Gossip) run() {
	ticker := time.NewTicker(g.options.ResendInterval)
	defer ticker.Stop()
	for {
		if len(g.options.Join) > 0 && g.Members() < 2 {
			g.members.Load().Join(g.options.Join)
		}
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			g.resend()
		}
	}
}

// resend queues a report of each own observation again, and drops observations of healthy sites older than healthyResendSpan.
func (g *Gossip) resend() {
	g.lock.Lock()
	defer g.lock.Unlock()
	for site, observed := range g.ownObservations {
		if !observed.lost && time.Since(observed.seenAt) > healthyResendSpan {
			delete(g.ownObservations, site)
			continue
		}
		g.enqueue(site, observed)
	}
}

// enqueue queues a report of an own observation of a site. The caller holds the lock.
func (g *Gossip) enqueue(site int, observed observation) {
	ageMs := 0.0
	if !observed.lost { // a loss that still holds counts as observed now
		ageMs = float64(time.Since(observed.seenAt).Milliseconds())
	}
	// Based on the clock, so that sequence numbers also increase over restarts.
	g.lastSequence = max(g.lastSequence+1, time.Now().UnixNano())
	report := Report{Peer: g.options.Name, Site: site, Lost: observed.lost, AgeMs: ageMs, Sequence: g.lastSequence}
	message, _ := json.Marshal(report) // can't fail: the fields are strings, finite numbers and booleans
	g.queue.QueueBroadcast(&broadcast{broadcastKey(report.Peer, site), message})
}

// Observe reports to the other members that this aggregator has just observed the loss of a site, or that the site is healthy.
func (g *Gossip) Observe(site int, lost bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	observed := observation{lost, time.Now()}
	g.ownObservations[site] = observed
	g.enqueue(site, observed)
}

// Addr returns the address on which the member listens.
func (g *Gossip) Addr() string { return g.members.Load().LocalNode().Address() }

// Members returns the number of live members, including this one.
func (g *Gossip) Members() int {
	members := g.members.Load()
	if members == nil {
		return 1
	}
	return members.NumMembers()
}

// Close tells the other members that this one leaves, and stops it.
func (g *Gossip) Close() error {
	g.stopOnce.Do(func() { close(g.stop) })
	members := g.members.Load()
	members.Leave(leaveTimeout)
	return members.Shutdown()
}

// delegate implements memberlist.Delegate for a Gossip.
type delegate Gossip

// NodeMeta implements memberlist.Delegate. It returns nil, as members have no metadata.
func (d *delegate) NodeMeta(int) []byte { return nil }

// LocalState implements memberlist.Delegate. It returns nil, as there is no state to exchange.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate. It does nothing, as there is no state to exchange.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// GetBroadcasts implements memberlist.Delegate. It returns queued messages that fit into limit bytes, with overhead bytes for each.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// NotifyMsg implements memberlist.Delegate. It delivers a report that is new and queues it for other members. It counts and drops
// a malformed message.
func (d *delegate) NotifyMsg(message []byte) {
	report, ok := parseReport(message)
	if !ok {
		d.lock.Lock()
		d.Malformed++
		d.lock.Unlock()
		return
	}
	if d.accept(report, message) {
		d.options.OnReport(report)
	}
}

// accept reports whether a peer's report is new, and if so queues its message for other members, as the sender reaches only a few
// members itself.
func (d *delegate) accept(report Report, message []byte) bool {
	key := broadcastKey(report.Peer, report.Site)
	d.lock.Lock()
	defer d.lock.Unlock()
	if len(d.seenSequences) >= maxSeenReports {
		clear(d.seenSequences)
	}
	if report.Peer == d.options.Name || report.Sequence <= d.seenSequences[key] {
		return false
	}
	d.seenSequences[key] = report.Sequence
	// The message is copied, as memberlist reuses its buffer.
	d.queue.QueueBroadcast(&broadcast{key, append([]byte(nil), message...)})
	return true
}
