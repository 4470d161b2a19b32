package kvindex

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// HomeOptions configure a Home.
type HomeOptions struct {
	// Epoch is the base of the epochs of this node's topics: the time of day at its start in
	// milliseconds, so that a later home has a higher epoch.
	Epoch uint64
	// BytesPerSecond is about how much is sent to each subscriber for each topic; 0:
	// defaultBytesPerSecond.
	BytesPerSecond int
	// MinTokens is the size below which parts are not announced; 0: defaultMinTokens.
	MinTokens int
}

const (
	defaultBytesPerSecond = 8 << 10
	defaultMinTokens      = 64
)

// Home polls the events of the brokers and stores whose home this node is, and broadcasts the changes.
// It is not safe for concurrent use.
type Home struct {
	options          HomeOptions
	topics           map[topicKey]*topic
	sources          map[string]*source // by name
	subscribers      []string           // internal addresses
	lastCallID       uint64
	lastSourceNumber uint64 // of the newest source
	deadline         core.Time
}

// NewHome returns a home without sources and subscribers.
func NewHome(options HomeOptions) *Home {
	if options.BytesPerSecond == 0 {
		options.BytesPerSecond = defaultBytesPerSecond
	}
	if options.MinTokens == 0 {
		options.MinTokens = defaultMinTokens
	}
	return &Home{options: options, topics: map[topicKey]*topic{}, sources: map[string]*source{}, deadline: core.Never}
}

// Deadline is when Tick is next to be called. It may change with each input.
func (h *Home) Deadline() core.Time { return h.deadline }

// SetSubscribers sets the internal addresses of the nodes that changes are broadcast to.
func (h *Home) SetSubscribers(addresses []string) {
	h.subscribers = slices.Clone(addresses)
	for _, t := range h.topics {
		for address := range t.snapshotSentAt {
			if !slices.Contains(addresses, address) {
				delete(t.snapshotSentAt, address)
			}
		}
	}
}

// SetSources sets the brokers and stores whose home this node is. A source that has changed counts as a
// new one.
func (h *Home) SetSources(now core.Time, list []Source) {
	named := make(map[string]bool, len(list))
	for _, item := range list {
		name := item.name()
		named[name] = true
		if known := h.sources[name]; known != nil && known.Source == item {
			continue
		}
		h.removeSource(name)
		h.addSource(now, item)
	}
	for name := range h.sources {
		if !named[name] {
			h.removeSource(name)
		}
	}
	h.updateDeadline()
}

// addSource adds a source, and its topic if it is the first of that.
func (h *Home) addSource(now core.Time, item Source) {
	h.lastSourceNumber++
	s := &source{Source: item, number: h.lastSourceNumber, cached: map[partKey]cachedPart{}, nextCallAt: now + h.initialDelay()}
	h.sources[item.name()] = s
	key := topicKey{item.Service, item.Zone}
	t := h.topics[key]
	if t == nil {
		t = newTopic(key, h.options.Epoch+uint64(now/time.Millisecond), now)
		h.topics[key] = t
	}
	t.sources = append(t.sources, s)
}

// initialDelay spreads the first calls of the sources over an interval.
func (h *Home) initialDelay() time.Duration {
	const steps = 8
	return time.Duration(h.lastSourceNumber%steps) * eventPollInterval / steps
}

// removeSource removes a source, if it is known, and its topic with the last one.
func (h *Home) removeSource(name string) {
	s := h.sources[name]
	if s == nil {
		return
	}
	delete(h.sources, name)
	key := topicKey{s.Service, s.Zone}
	t := h.topics[key]
	t.sources = slices.DeleteFunc(t.sources, func(other *source) bool { return other == s })
	t.dropHolder(name)
	if len(t.sources) == 0 {
		delete(h.topics, key)
	}
}

// Tick starts the calls and broadcasts the updates that are due.
func (h *Home) Tick(now core.Time) []core.Output {
	var outputs []core.Output
	for _, s := range h.dueSources(now) {
		outputs = append(outputs, h.pollSource(now, s))
	}
	for _, t := range h.dueTopics(now) {
		outputs = h.broadcast(t.nextUpdate(now, h.options.BytesPerSecond), outputs)
	}
	h.updateDeadline()
	return outputs
}

// dueSources lists the sources that are to be called now, in the order in which they were added.
func (h *Home) dueSources(now core.Time) []*source {
	var due []*source
	for _, s := range h.sources {
		if s.due(now) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *source) int { return cmp.Compare(a.number, b.number) })
	return due
}

// dueTopics lists the topics that have an update to broadcast now, ordered by service and zone.
func (h *Home) dueTopics(now core.Time) []*topic {
	var due []*topic
	for _, t := range h.topics {
		if t.due(now) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *topic) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.zone, b.key.zone))
	})
	return due
}

// pollSource starts a call to a source; EventsDone ends it.
func (h *Home) pollSource(now core.Time, s *source) core.Output {
	h.lastCallID++
	s.callID = h.lastCallID
	s.calledAt = now
	return core.FetchEvents{Token: s.callID, Instance: s.Instance, Address: s.Address, Since: s.cursor, Wait: maxLongPoll}
}

// broadcast appends the sends of an update to all subscribers.
func (h *Home) broadcast(update *nodepb.IndexUpdate, outputs []core.Output) []core.Output {
	for _, address := range h.subscribers {
		outputs = append(outputs, sendUpdate(address, update))
	}
	return outputs
}

func sendUpdate(address string, update *nodepb.IndexUpdate) core.Output {
	return core.Send{Destination: address, Message: &nodepb.Envelope{Body: &nodepb.Envelope_IndexUpdate{IndexUpdate: update}}}
}

// EventsDone ends a call with its events or an error. The result of a call that is no longer pending is
// ignored.
func (h *Home) EventsDone(now core.Time, callID uint64, events *Events, err error) {
	s := h.sourceOfCall(callID)
	if s == nil {
		return
	}
	if err != nil || events == nil {
		s.handleFailure(now)
	} else {
		reset, changed := s.handleEvents(events, now)
		t := h.topics[topicKey{s.Service, s.Zone}]
		t.recordEvents(now, s, reset, changed, uint32(h.options.MinTokens))
	}
	h.updateDeadline()
}

// sourceOfCall returns the source with a pending call, nil if there is none.
func (h *Home) sourceOfCall(callID uint64) *source {
	for _, s := range h.sources {
		if s.callID == callID && callID != 0 {
			return s
		}
	}
	return nil
}

// HandlePoll answers a subscriber that lacks updates.
func (h *Home) HandlePoll(now core.Time, from core.Peer, poll *nodepb.IndexPoll) []core.Output {
	t := h.topics[topicKey{poll.Service, poll.Zone}]
	if t == nil {
		return nil
	}
	var outputs []core.Output
	for _, update := range t.updatesSince(now, from.Address, poll.Epoch, poll.Sequence) {
		outputs = append(outputs, sendUpdate(from.Address, update))
	}
	return outputs
}

// updateDeadline recomputes the deadline. Each input calls it last.
func (h *Home) updateDeadline() {
	h.deadline = core.Never
	for _, s := range h.sources {
		h.deadline = min(h.deadline, s.deadline())
	}
	for _, t := range h.topics {
		h.deadline = min(h.deadline, t.deadline())
	}
}
