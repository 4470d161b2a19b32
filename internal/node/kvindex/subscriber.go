package kvindex

import (
	"maps"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
)

const (
	// topicPollInterval is the least time between two polls for the same topic.
	topicPollInterval = time.Second
	// homeTimeout is the time without an update of a home after which one with a lower epoch is
	// accepted.
	homeTimeout = 5 * time.Second
)

// subscription is a subscriber's state of one topic.
type subscription struct {
	epoch        uint64 // of the last update applied
	sequence     uint64 // of the last update applied
	lastUpdateAt core.Time
	polledAt     core.Time // valid if polled
	polled       bool
	holders      map[string]bool // named by the topic's updates since its snapshot
}

// Subscriber applies the broadcasts of homes to an index. It is not safe for concurrent use.
type Subscriber struct {
	index    *Guarded
	topics   map[topicKey]*subscription
	versions map[string]map[string]uint64 // of weights, by instance id and model, in the last table
}

// NewSubscriber returns a subscriber that has received nothing.
func NewSubscriber(index *Guarded) *Subscriber {
	return &Subscriber{index: index, topics: map[topicKey]*subscription{}, versions: map[string]map[string]uint64{}}
}

// HandleUpdate applies an update, or polls its sender for the updates that are missing before it. It
// ignores a former home, whose epoch is lower, as long as the present one sends updates.
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

// poll requests the missing updates from a home, at most once per topicPollInterval.
func (t *subscription) poll(now core.Time, home core.Peer, key topicKey) []core.Output {
	if t.polled && now < t.polledAt+topicPollInterval {
		return nil
	}
	t.polled, t.polledAt = true, now
	poll := &nodepb.IndexPoll{Service: key.service, Zone: key.zone, Epoch: t.epoch, Sequence: t.sequence}
	message := &nodepb.Envelope{Body: &nodepb.Envelope_IndexPoll{IndexPoll: poll}}
	return []core.Output{core.Send{Destination: home.Address, Message: message}}
}

// apply applies an update to the index under one lock, so that the router sees all of it or nothing.
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

// reset drops all that the topic's earlier updates named, as a snapshot replaces them.
func (t *subscription) reset(index *Index) {
	for name := range t.holders {
		index.InvalidateHolder(name)
	}
	clear(t.holders)
}

// SetTable drops the entries of brokers that are gone or have loaded new weights, which empties their
// cache (PROTOCOL.md: op = version).
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

// removeBroker drops a broker that is gone.
func (s *Subscriber) removeBroker(instance string) {
	delete(s.versions, instance)
	s.index.Update(func(index *Index) { index.RemoveHolder(instance) })
	for _, t := range s.topics {
		delete(t.holders, instance)
	}
}
