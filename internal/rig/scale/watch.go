package scale

import (
	"slices"
	"time"

	"kestrelspread/internal/node/nodepb"
)

// watch notes, from outside, when each node came to know of something.
type watch struct {
	index   uint64 // of the control state that is waited for; 0: none
	applied map[*node]time.Duration

	dead    string // node id of a node that was killed; empty: none
	noticed map[*node]time.Duration

	silent map[string]bool // brokers that some node took for silent
}

// applied is told when a node has a newer control state.
func (f *Fleet) applied(n *node, index uint64) {
	if f.watch.index == 0 || index < f.watch.index {
		return
	}
	if _, known := f.watch.applied[n]; !known {
		f.watch.applied[n] = f.clock.now
	}
}

// membersChanged is told when a node's list of members has changed.
func (f *Fleet) membersChanged(n *node, members []*nodepb.Member) {
	if f.watch.dead == "" {
		return
	}
	if slices.ContainsFunc(members, func(m *nodepb.Member) bool { return m.NodeId == f.watch.dead }) {
		delete(f.watch.noticed, n)
		return
	}
	if _, known := f.watch.noticed[n]; !known {
		f.watch.noticed[n] = f.clock.now
	}
}

// tableChanged is told when a node's table of brokers has changed.
func (f *Fleet) tableChanged(n *node) {
	if f.watch.silent == nil {
		return
	}
	for id, instance := range n.control.Registry().Table().ByID {
		if instance.Unresponsive {
			f.watch.silent[id] = true
		}
	}
}

// Spread is when the nodes came to know of something, from the moment at which it happened.
type Spread struct {
	FirstMs  float64 `json:"firstMs"`
	MedianMs float64 `json:"medianMs"`
	LastMs   float64 `json:"lastMs"`
	Missing  int     `json:"missing"` // nodes that did not, in the time that was waited
}

func spreadOf(since time.Duration, times map[*node]time.Duration, expected int) Spread {
	list := make([]time.Duration, 0, len(times))
	for _, at := range times {
		list = append(list, at-since)
	}
	slices.Sort(list)
	s := Spread{Missing: expected - len(list)}
	if len(list) > 0 {
		s.FirstMs, s.MedianMs, s.LastMs = milliseconds(list[0]), milliseconds(list[len(list)/2]), milliseconds(list[len(list)-1])
	}
	return s
}

func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }
