package kvindex

import (
	"maps"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
)

const (
	// pollPause lies between two polls for the same topic.
	pollPause = time.Second
	// homeSilence is how long a home must have been silent for one with a lower epoch to be heard.
	homeSilence = 5 * time.Second
)

// subscription is how far a subscriber is with a topic.
type subscription struct {
	epoch    uint64
	sequence uint64
	heardAt  core.Time
	polledAt core.Time
	polled   bool
	holders  map[string]bool // named by the topic
}

// Subscriber applies what homes spread to an index.
type Subscriber struct {
	index    *Guarded
	topics   map[topicID]*subscription
	versions map[string]map[string]uint64 // of weights, by instance and model, as last seen
}

// NewSubscriber returns one that has heard of nothing.
func NewSubscriber(index *Guarded) *Subscriber {
	return &Subscriber{index: index, topics: map[topicID]*subscription{}, versions: map[string]map[string]uint64{}}
}

// HandleUpdate applies an update, or asks its sender for what is missing before it.
func (s *Subscriber) HandleUpdate(now core.Time, from core.Peer, update *nodepb.IndexUpdate) []core.Output {
	id := topicID{update.Service, update.Zone}
	t := s.topics[id]
	if t == nil {
		t = &subscription{holders: map[string]bool{}}
		s.topics[id] = t
	}
	if update.Epoch < t.epoch && now < t.heardAt+homeSilence {
		return nil // a former home
	}
	switch {
	case update.Whole && (update.Epoch != t.epoch || update.Sequence > t.sequence):
		return s.apply(now, t, update)
	case update.Epoch == t.epoch && update.Sequence <= t.sequence:
		return nil // known
	case update.Epoch == t.epoch && update.Sequence == t.sequence+1:
		return s.apply(now, t, update)
	default:
		return t.poll(now, from, id)
	}
}

// poll asks a home for what is missing.
func (t *subscription) poll(now core.Time, from core.Peer, id topicID) []core.Output {
	if t.polled && now < t.polledAt+pollPause {
		return nil
	}
	t.polled, t.polledAt = true, now
	return []core.Output{core.Send{Destination: from.Address, Message: &nodepb.Envelope{Body: &nodepb.Envelope_IndexPoll{
		IndexPoll: &nodepb.IndexPoll{Service: id.service, Zone: id.zone, Epoch: t.epoch, Sequence: t.sequence},
	}}}}
}

func (s *Subscriber) apply(now core.Time, t *subscription, update *nodepb.IndexUpdate) []core.Output {
	t.epoch, t.sequence, t.heardAt = update.Epoch, update.Sequence, now
	var outputs []core.Output
	s.index.Update(func(index *Index) {
		if update.Whole {
			t.reset(index)
		}
		eachChange(update, func(name string, salt, part uint64, tokens uint32) {
			t.holders[name] = true
			if part != wholeHolder {
				index.Set(name, salt, part, int(tokens))
				return
			}
			if tokens == lostAll {
				index.Reset(name)
			}
			if address, ok := storeAddress(name); ok {
				outputs = append(outputs, core.StoreContacted{Address: address, ContentsLost: tokens == lostAll})
			}
		})
	})
	return outputs
}

// reset drops all that the topic told before.
func (t *subscription) reset(index *Index) {
	for name := range t.holders {
		index.Reset(name)
	}
	clear(t.holders)
}

// SetTable drops what brokers kept that are gone or have got new weights (PROTOCOL.md: an order of op = version drops it).
func (s *Subscriber) SetTable(table *registry.Table) {
	for id := range s.versions {
		if table.ByID[id] == nil {
			s.forget(id)
		}
	}
	for id, instance := range table.ByID {
		if known, ok := s.versions[id]; ok && !maps.Equal(known, instance.Versions) {
			s.index.Update(func(index *Index) { index.Reset(id) })
		}
		s.versions[id] = instance.Versions
	}
}

func (s *Subscriber) forget(instance string) {
	delete(s.versions, instance)
	s.index.Update(func(index *Index) { index.Forget(instance) })
	for _, t := range s.topics {
		delete(t.holders, instance)
	}
}
