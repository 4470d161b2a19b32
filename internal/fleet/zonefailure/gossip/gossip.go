// Package gossip carries what brokers see of sites to each other, where an installation lets them talk: gossip by memberlist, on
// an address of its own. What it brings is hearsay, with who said it and how old it is; internal/fleet/zonefailure says what it is
// worth. Nothing waits for it, and without it brokers decide by own sight as ever. The platform bars it: it is off there.
package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Options are one broker's.
type Options struct {
	Name                string
	Listen              netip.AddrPort
	Join                []string          // addresses of others, any of them
	Key                 []byte            // of 16, 24 or 32 bytes; nil: in the clear
	RedirectedAddresses map[string]string // a peer's address, and that by which it is reached from here: over a tunnel, or a link with faults
	OnReport            func(w Report)
	ResendInterval      time.Duration // how often what lasts is said again
}

// Report is what one broker says of a site.
type Report struct {
	Peer     string  `json:"p"`
	Site     int     `json:"s"`
	Lost     bool    `json:"l"`
	AgeMs    float64 `json:"a"` // ms since it was seen, when it was first sent; the way takes less than a second
	Sequence int64   `json:"n"` // rises with each word of a peer, over its restarts too
}

const (
	maxReportBytes = 512  // bytes: longer ones are nobody's
	maxSeenReports = 8192 // peers times sites of which the latest word is known; past that all is forgotten, and a word goes round once more
)

// Gossip is a broker's part in the gossip.
type Gossip struct {
	options         Options
	members         *memberlist.Memberlist
	queue           *memberlist.TransmitLimitedQueue
	lock            sync.Mutex
	ownObservations map[int]observation // what it last saw of each site
	seenSequences   map[string]int64
	lastSequence    int64
	stop            chan struct{}
	stopOnce        sync.Once
	Malformed       int // words that could not be read
}

type observation struct {
	lost   bool
	seenAt time.Time
}

// Start joins the others; that nobody is there yet is no error, as brokers start in any order.
func Start(o Options) (*Gossip, error) {
	t := &Gossip{options: o, ownObservations: map[int]observation{}, seenSequences: map[string]int64{}, lastSequence: time.Now().UnixNano(), stop: make(chan struct{})}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort = o.Name, o.Listen.Addr().String(), int(o.Listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.LogOutput, c.Delegate, c.SecretKey = io.Discard, (*delegate)(t), o.Key
	c.DeadNodeReclaimTime = 10 * time.Second // a broker that starts again under its name and another address
	var err error
	if len(o.RedirectedAddresses) > 0 {
		if c.Transport, err = newRedirectingTransport(c, o.RedirectedAddresses); err != nil {
			return nil, fmt.Errorf("talk among brokers: %w", err)
		}
	}
	if t.members, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("talk among brokers: %w", err)
	}
	t.queue = &memberlist.TransmitLimitedQueue{NumNodes: t.members.NumMembers, RetransmitMult: c.RetransmitMult}
	if o.ResendInterval <= 0 {
		t.options.ResendInterval = time.Second
	}
	go t.run()
	return t, nil
}

// run joins until somebody is there, and says again what lasts.
func (t *Gossip) run() {
	tick := time.NewTicker(t.options.ResendInterval)
	defer tick.Stop()
	for {
		if len(t.options.Join) > 0 && t.members.NumMembers() < 2 {
			t.members.Join(t.options.Join)
		}
		select {
		case <-t.stop:
			return
		case <-tick.C:
			t.resend()
		}
	}
}

func (t *Gossip) resend() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for site, s := range t.ownObservations {
		if age := time.Since(s.seenAt); !s.lost && age > 5*time.Second {
			delete(t.ownObservations, site) // that a site is well is no news
			continue
		}
		t.enqueue(site, s)
	}
}

// enqueue puts a word into the gossip. The lock is held.
func (t *Gossip) enqueue(site int, s observation) {
	age := 0.0
	if !s.lost { // a loss that lasts is seen now
		age = float64(time.Since(s.seenAt).Milliseconds())
	}
	t.lastSequence = max(t.lastSequence+1, time.Now().UnixNano())
	b, _ := json.Marshal(Report{t.options.Name, site, s.lost, age, t.lastSequence})
	t.queue.QueueBroadcast(&broadcast{fmt.Sprint(t.options.Name, " ", site), b})
}

// Observe tells the others what this broker has just seen of a site.
func (t *Gossip) Observe(site int, lost bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.ownObservations[site] = observation{lost, time.Now()}
	t.enqueue(site, t.ownObservations[site])
}

// Addr is where it listens.
func (t *Gossip) Addr() string { return t.members.LocalNode().Address() }

// Members is how many talk, this broker included.
func (t *Gossip) Members() int { return t.members.NumMembers() }

// Close leaves.
func (t *Gossip) Close() error {
	t.stopOnce.Do(func() { close(t.stop) })
	t.members.Leave(200 * time.Millisecond)
	return t.members.Shutdown()
}

// broadcast is a broadcast; a later one of the same broker and site takes its place.
type broadcast struct {
	key     string
	payload []byte
}

func (w *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.key == w.key
}
func (w *broadcast) Message() []byte { return w.payload }
func (w *broadcast) Finished()       {}

type delegate Gossip

func (d *delegate) NodeMeta(int) []byte           { return nil }
func (d *delegate) LocalState(bool) []byte        { return nil }
func (d *delegate) MergeRemoteState([]byte, bool) {}
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	if d.queue == nil {
		return nil
	}
	return d.queue.GetBroadcasts(overhead, limit)
}

// NotifyMsg hands on a word, and passes it to others as gossip does. What can't be read is counted and goes nowhere.
func (d *delegate) NotifyMsg(b []byte) {
	var w Report
	if len(b) > maxReportBytes || json.Unmarshal(b, &w) != nil || w.Peer == "" || w.Site < 0 || !(w.AgeMs >= 0) {
		d.lock.Lock()
		d.Malformed++
		d.lock.Unlock()
		return
	}
	key := fmt.Sprint(w.Peer, " ", w.Site)
	d.lock.Lock()
	if len(d.seenSequences) >= maxSeenReports {
		clear(d.seenSequences)
	}
	news := w.Peer != d.options.Name && w.Sequence > d.seenSequences[key]
	if news {
		d.seenSequences[key] = w.Sequence
		if d.queue != nil { // who hears it first passes it on: its sender reaches but a few
			d.queue.QueueBroadcast(&broadcast{key, append([]byte(nil), b...)})
		}
	}
	d.lock.Unlock()
	if news {
		d.options.OnReport(w)
	}
}
