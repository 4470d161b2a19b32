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
	Name   string
	Listen netip.AddrPort
	Join   []string          // addresses of others, any of them
	Key    []byte            // of 16, 24 or 32 bytes; nil: in the clear
	Via    map[string]string // a peer's address, and that by which it is reached from here: over a tunnel, or a link with faults
	Heard  func(w Word)
	Every  time.Duration // how often what lasts is said again
}

// Word is what one broker says of a site.
type Word struct {
	Peer string  `json:"p"`
	Site int     `json:"s"`
	Lost bool    `json:"l"`
	Age  float64 `json:"a"` // ms since it was seen, when it was first sent; the way takes less than a second
	No   int64   `json:"n"` // rises with each word of a peer, over its restarts too
}

const (
	wordMost = 512  // bytes: longer ones are nobody's
	seenMost = 8192 // peers times sites of which the latest word is known; past that all is forgotten, and a word goes round once more
)

// Talk is a broker's part in the gossip.
type Talk struct {
	opt   Options
	list  *memberlist.Memberlist
	queue *memberlist.TransmitLimitedQueue
	lock  sync.Mutex
	held  map[int]said // what it last saw of each site
	seen  map[string]int64
	no    int64
	stop  chan struct{}
	once  sync.Once
	Bad   int // words that could not be read
}

type said struct {
	lost bool
	at   time.Time
}

// Start joins the others; that nobody is there yet is no error, as brokers start in any order.
func Start(o Options) (*Talk, error) {
	t := &Talk{opt: o, held: map[int]said{}, seen: map[string]int64{}, no: time.Now().UnixNano(), stop: make(chan struct{})}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort = o.Name, o.Listen.Addr().String(), int(o.Listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.LogOutput, c.Delegate, c.SecretKey = io.Discard, (*delegate)(t), o.Key
	c.DeadNodeReclaimTime = 10 * time.Second // a broker that starts again under its name and another address
	var err error
	if len(o.Via) > 0 {
		if c.Transport, err = overVia(c, o.Via); err != nil {
			return nil, fmt.Errorf("talk among brokers: %w", err)
		}
	}
	if t.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("talk among brokers: %w", err)
	}
	t.queue = &memberlist.TransmitLimitedQueue{NumNodes: t.list.NumMembers, RetransmitMult: c.RetransmitMult}
	if o.Every <= 0 {
		t.opt.Every = time.Second
	}
	go t.keep()
	return t, nil
}

// keep joins until somebody is there, and says again what lasts.
func (t *Talk) keep() {
	tick := time.NewTicker(t.opt.Every)
	defer tick.Stop()
	for {
		if len(t.opt.Join) > 0 && t.list.NumMembers() < 2 {
			t.list.Join(t.opt.Join)
		}
		select {
		case <-t.stop:
			return
		case <-tick.C:
			t.again()
		}
	}
}

func (t *Talk) again() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for site, s := range t.held {
		if age := time.Since(s.at); !s.lost && age > 5*time.Second {
			delete(t.held, site) // that a site is well is no news
			continue
		}
		t.send(site, s)
	}
}

// send puts a word into the gossip. The lock is held.
func (t *Talk) send(site int, s said) {
	age := 0.0
	if !s.lost { // a loss that lasts is seen now
		age = float64(time.Since(s.at).Milliseconds())
	}
	t.no = max(t.no+1, time.Now().UnixNano())
	b, _ := json.Marshal(Word{t.opt.Name, site, s.lost, age, t.no})
	t.queue.QueueBroadcast(&word{fmt.Sprint(t.opt.Name, " ", site), b})
}

// Saw tells the others what this broker has just seen of a site.
func (t *Talk) Saw(site int, lost bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.held[site] = said{lost, time.Now()}
	t.send(site, t.held[site])
}

// Addr is where it listens.
func (t *Talk) Addr() string { return t.list.LocalNode().Address() }

// Members is how many talk, this broker included.
func (t *Talk) Members() int { return t.list.NumMembers() }

// Close leaves.
func (t *Talk) Close() error {
	t.once.Do(func() { close(t.stop) })
	t.list.Leave(200 * time.Millisecond)
	return t.list.Shutdown()
}

// word is a broadcast; a later one of the same broker and site takes its place.
type word struct {
	key  string
	text []byte
}

// Invalidates implements memberlist.Broadcast: a later word of the same broker and site takes the place of an earlier one.
func (w *word) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*word)
	return ok && o.key == w.key
}

// Message implements memberlist.Broadcast.
func (w *word) Message() []byte { return w.text }

// Finished implements memberlist.Broadcast; nobody waits for it.
func (w *word) Finished() {}

type delegate Talk

// NodeMeta implements memberlist.Delegate; members carry no data.
func (d *delegate) NodeMeta(int) []byte { return nil }

// LocalState implements memberlist.Delegate; there is no state to exchange.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate; there is no state to exchange.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// GetBroadcasts implements memberlist.Delegate: what is still to be told, within limit bytes.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	if d.queue == nil {
		return nil
	}
	return d.queue.GetBroadcasts(overhead, limit)
}

// NotifyMsg hands on a word, and passes it to others as gossip does. What can't be read is counted and goes nowhere.
func (d *delegate) NotifyMsg(b []byte) {
	var w Word
	if len(b) > wordMost || json.Unmarshal(b, &w) != nil || w.Peer == "" || w.Site < 0 || !(w.Age >= 0) {
		d.lock.Lock()
		d.Bad++
		d.lock.Unlock()
		return
	}
	key := fmt.Sprint(w.Peer, " ", w.Site)
	d.lock.Lock()
	if len(d.seen) >= seenMost {
		clear(d.seen)
	}
	news := w.Peer != d.opt.Name && w.No > d.seen[key]
	if news {
		d.seen[key] = w.No
		if d.queue != nil { // who hears it first passes it on: its sender reaches but a few
			d.queue.QueueBroadcast(&word{key, append([]byte(nil), b...)})
		}
	}
	d.lock.Unlock()
	if news {
		d.opt.Heard(w)
	}
}
