package kvindex

import (
	"maps"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
)

const (
	// topicPollInterval is the least time between two requests for missed updates of the same topic.
	topicPollInterval = time.Second
	// homeTimeout is the time without an update from a topic's home after which a home with a lower epoch
	// is accepted.
	homeTimeout = 5 * time.Second
)

// subscription is the state of a subscriber for one topic.
type subscription struct {
	epoch        uint64 // of the last update applied
	sequence     uint64 // of the last update applied
	lastUpdateAt core.Time
	polledAt     core.Time       // time of the latest request for missed updates; valid if polled is set
	polled       bool            // a request for missed updates was sent
	holders      map[string]bool // holders that the topic's updates named since its latest snapshot
}

// Subscriber applies the broadcasts of homes to an index. It is not safe for concurrent use.
type Subscriber struct {
	index    *Guarded
	topics   map[topicKey]*subscription
	versions map[string]map[string]uint64 // versions of the weights in the latest table, by instance id and model
}

// NewSubscriber returns a subscriber that has received no update and applies updates to the index.
func NewSubscriber(index *Guarded) *Subscriber {
	return &Subscriber{index: index, topics: map[topicKey]*subscription{}, versions: map[string]map[string]uint64{}}
}

// HandleUpdate applies an update, or requests the updates that are missing before it from its sender. It
// ignores updates of a lower epoch, which come from a former home, until the current home has sent
// nothing for homeTimeout.
func (s *Subscriber) HandleUpdate(now core.Time, from core.Peer, update *nodepb.IndexUpdate) []core.Output {
	key := topicKey{update.Service, update.Zone}
	t := s.topics[key]
	if t == nil {
		t = &subscription{holders: map[string]bool{}}
		s.topics[key] = t
	}
	if update.Epoch < t.epoch && now < t.lastUpdateAt+homeTimeout {
		return nil // a former home
	}
	switch {
	case update.Complete && (update.Epoch != t.epoch || update.Sequence > t.sequence):
		return s.apply(now, t, update)
	case update.Epoch == t.epoch && update.Sequence <= t.sequence:
		return nil // already applied
	case update.Epoch == t.epoch && update.Sequence == t.sequence+1:
		return s.apply(now, t, update)
	default:
		return t.poll(now, from, key)
	}
}

// poll returns the request for missing updates to a home; nothing if the latest request was sent less
// than topicPollInterval ago.
func (t *subscription) poll(now core.Time, home core.Peer, key topicKey) []core.Output {
	if t.polled && now < t.polledAt+topicPollInterval {
		return nil
	}
	t.polled, t.polledAt = true, now
	poll := &nodepb.IndexPoll{Service: key.service, Zone: key.zone, Epoch: t.epoch, Sequence: t.sequence}
	message := &nodepb.Envelope{Body: &nodepb.Envelope_IndexPoll{IndexPoll: poll}}
	return []core.Output{core.Send{Destination: home.Address, Message: message}}
}

// apply applies an update to the index while holding the index's mutex once, so that the router sees
// either all or none of the update. Its outputs report the stores that the home has reached.
func (s *Subscriber) apply(now core.Time, t *subscription, update *nodepb.IndexUpdate) []core.Output {
	t.epoch, t.sequence, t.lastUpdateAt = update.Epoch, update.Sequence, now
	var outputs []core.Output
	s.index.Update(func(index *Index) {
		if update.Complete {
			t.reset(index)
		}
		forEachChange(update, func(name string, salt, part uint64, tokens uint32) {
			t.holders[name] = true
			if part != entireHolder {
				index.Set(name, salt, part, int(tokens))
				return
			}
			if tokens == cacheLost {
				index.InvalidateHolder(name)
			}
			if address, ok := storeAddress(name); ok {
				outputs = append(outputs, core.StoreContacted{Address: address, ContentsLost: tokens == cacheLost})
			}
		})
	})
	return outputs
}

// reset invalidates all holders that the topic's earlier updates named, before a snapshot replaces them.
func (t *subscription) reset(index *Index) {
	for name := range t.holders {
		index.InvalidateHolder(name)
	}
	clear(t.holders)
}

// SetTable drops the index entries of brokers that the table no longer lists. It also drops those of
// brokers that have loaded new weights, as this empties their cache (PROTOCOL.md: op = version).
func (s *Subscriber) SetTable(table *registry.Table) {
	for id := range s.versions {
		if table.ByID[id] == nil {
			s.removeBroker(id)
		}
	}
	for id, instance := range table.ByID {
		if known, ok := s.versions[id]; ok && !maps.Equal(known, instance.Versions) {
			s.index.Update(func(index *Index) { index.InvalidateHolder(id) })
		}
		s.versions[id] = instance.Versions
	}
}

// removeBroker drops a broker that has left the table.
func (s *Subscriber) removeBroker(instance string) {
	delete(s.versions, instance)
	s.index.Update(func(index *Index) { index.RemoveHolder(instance) })
	for _, t := range s.topics {
		delete(t.holders, instance)
	}
}
