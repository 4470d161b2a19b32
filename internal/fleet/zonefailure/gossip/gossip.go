// Package gossip carries brokers' observations of sites to each other, where an installation lets them talk: memberlist's gossip, on
// an address of its own. What it delivers is a peer's report with its origin and age; internal/fleet/zonefailure decides what
// that is worth. Nothing waits for it: without it brokers decide by their own observations alone. On the platform, which
// bars traffic among brokers, it is off.
//
// A report is delivered at most once and never after a newer one of the same peer on the same site, except when the table of
// seen sequence numbers has overflowed. It may be lost: what lasts is sent again.
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

// Options are one broker's.
type Options struct {
	Name   string
	Listen netip.AddrPort
	Join   []string // addresses of other members, any of them
	Key    []byte   // of 16, 24 or 32 bytes; nil: unencrypted
	// RedirectedAddresses maps a peer's address to that by which it is reached from here: over a tunnel, or a faulty link.
	RedirectedAddresses map[string]string
	OnReport            func(r Report)
	ResendInterval      time.Duration // 0: defaultResendInterval
}

const (
	defaultResendInterval = time.Second

	// maxSeenReports bounds peers times sites whose latest sequence number is known. Past that all are forgotten, and a
	// report is passed on once more.
	maxSeenReports = 8192

	// healthyResendSpan is how long it is sent again that a site is healthy, after which everybody has heard.
	healthyResendSpan = 5 * time.Second

	// reclaimAfter is when a broker may come back under its name with another address.
	reclaimAfter = 10 * time.Second

	leaveTimeout = 200 * time.Millisecond
)

// Gossip is one broker's membership in the gossip.
type Gossip struct {
	options Options
	members atomic.Pointer[memberlist.Memberlist] // nil until memberlist.Create has returned
	queue   *memberlist.TransmitLimitedQueue

	lock            sync.Mutex
	ownObservations map[int]observation // the latest by site
	seenSequences   map[string]int64    // by broadcastKey
	lastSequence    int64

	stop      chan struct{}
	stopOnce  sync.Once
	Malformed int // messages that could not be read
}

type observation struct {
	lost   bool
	seenAt time.Time
}

// Start joins the other members. That none can be reached yet is no error, as brokers start in any order.
func Start(options Options) (*Gossip, error) {
	g := newGossip(options)
	config, err := g.memberlistConfig()
	if err != nil {
		return nil, fmt.Errorf("gossip among brokers: %w", err)
	}
	members, err := memberlist.Create(config)
	if err != nil {
		return nil, fmt.Errorf("gossip among brokers: %w", err)
	}
	g.members.Store(members)
	go g.run()
	return g, nil
}

// newGossip returns a member that has not joined. memberlist calls its delegate from goroutines that Create starts,
// so the queue and all else that the delegate uses is there before.
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

// run joins until another member is there, and sends again what lasts. Close stops it.
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

// enqueue queues a report of a site. The lock is held.
func (g *Gossip) enqueue(site int, observed observation) {
	ageMs := 0.0
	if !observed.lost { // a loss that lasts is observed now
		ageMs = float64(time.Since(observed.seenAt).Milliseconds())
	}
	// By the clock, so that it rises over restarts, too.
	g.lastSequence = max(g.lastSequence+1, time.Now().UnixNano())
	report := Report{Peer: g.options.Name, Site: site, Lost: observed.lost, AgeMs: ageMs, Sequence: g.lastSequence}
	message, _ := json.Marshal(report) // strings, numbers and booleans can't fail
	g.queue.QueueBroadcast(&broadcast{broadcastKey(report.Peer, site), message})
}

// Observe reports to the other members what this broker has just observed of a site.
func (g *Gossip) Observe(site int, lost bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	observed := observation{lost, time.Now()}
	g.ownObservations[site] = observed
	g.enqueue(site, observed)
}

// Addr is the address on which it listens.
func (g *Gossip) Addr() string { return g.members.Load().LocalNode().Address() }

// Members is the number of live members, this broker included.
func (g *Gossip) Members() int {
	members := g.members.Load()
	if members == nil {
		return 1
	}
	return members.NumMembers()
}

// Close leaves the gossip.
func (g *Gossip) Close() error {
	g.stopOnce.Do(func() { close(g.stop) })
	members := g.members.Load()
	members.Leave(leaveTimeout)
	return members.Shutdown()
}

// delegate is what memberlist calls.
type delegate Gossip

// NodeMeta implements memberlist.Delegate; members carry no data.
func (d *delegate) NodeMeta(int) []byte { return nil }

// LocalState implements memberlist.Delegate; there is no state to exchange.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate; there is no state to exchange.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// GetBroadcasts implements memberlist.Delegate: queued messages that fit into limit bytes.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// NotifyMsg delivers a message, and passes it on as gossip does. A malformed one is counted and dropped.
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

// accept tells whether a report is new, and then passes it on: its sender reaches but a few.
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
	// memberlist reuses its buffer.
	d.queue.QueueBroadcast(&broadcast{key, append([]byte(nil), message...)})
	return true
}
