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
	// Epoch is the base of the epochs of this node's topics: the node's start time in milliseconds of
	// Unix time, so that a later home has a higher epoch.
	Epoch uint64
	// BytesPerSecond is the approximate limit of what is sent to each subscriber for each topic; 0
	// means defaultBytesPerSecond.
	BytesPerSecond int
	// MinTokens is the least size in tokens of the parts that are announced; 0 means defaultMinTokens.
	MinTokens int
}

const (
	defaultBytesPerSecond = 8 << 10
	defaultMinTokens      = 64
)

// Home polls the cache events of the brokers and stores that are assigned to this node, and broadcasts
// the changes to the subscribers. It is not safe for concurrent use.
type Home struct {
	options          HomeOptions
	topics           map[topicKey]*topic
	sources          map[string]*source // by name
	subscribers      []string           // internal addresses of the proxies
	lastCallID       uint64
	lastSourceNumber uint64    // number of the source added last
	deadline         core.Time // see Deadline
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

// Deadline returns when Tick is to be called next. Every other call may change it.
func (h *Home) Deadline() core.Time { return h.deadline }

// SetSubscribers sets the internal addresses of the nodes to which changes are broadcast.
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

// SetSources sets the brokers and stores to poll. A source whose address, service or zone has changed is
// removed and added as a new one.
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

// addSource adds a source, and creates its topic if this is the topic's first source.
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

// initialDelay returns the delay of the first call to the source added last. The delays spread the first
// calls over an eventPollInterval.
func (h *Home) initialDelay() time.Duration {
	const steps = 8
	return time.Duration(h.lastSourceNumber%steps) * eventPollInterval / steps
}

// removeSource removes a source, if it is known. Removing the last source of a topic removes the topic.
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

// Tick starts the calls to sources that are due, and broadcasts the updates that are due.
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

// dueSources returns the sources that are due to be called, in the order in which they were added.
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

// dueTopics returns the topics that are due to broadcast an update, ordered by service and zone.
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

// pollSource returns the output that starts a call to a source. HandleEvents takes the result.
func (h *Home) pollSource(now core.Time, s *source) core.Output {
	h.lastCallID++
	s.callID = h.lastCallID
	s.calledAt = now
	return core.FetchEvents{Token: s.callID, Instance: s.Instance, Address: s.Address, Since: s.cursor, Wait: maxLongPoll}
}

// broadcast appends one output per subscriber that sends the update, and returns the list.
func (h *Home) broadcast(update *nodepb.IndexUpdate, outputs []core.Output) []core.Output {
	for _, address := range h.subscribers {
		outputs = append(outputs, sendUpdate(address, update))
	}
	return outputs
}

// sendUpdate returns the output that sends an update to an address.
func sendUpdate(address string, update *nodepb.IndexUpdate) core.Output {
	return core.Send{Destination: address, Message: &nodepb.Envelope{Body: &nodepb.Envelope_IndexUpdate{IndexUpdate: update}}}
}

// EventsDone handles the result of a call: its events or an error. The result of a call that is no
// longer pending is ignored.
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

// sourceOfCall returns the source whose pending call has the id, or nil.
func (h *Home) sourceOfCall(callID uint64) *source {
	for _, s := range h.sources {
		if s.callID == callID && callID != 0 {
			return s
		}
	}
	return nil
}

// HandlePoll returns the sends that answer a subscriber's request for the updates that it missed.
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

// updateDeadline recomputes the deadline. Every method that changes when a source or topic is due must call
// it last.
func (h *Home) updateDeadline() {
	h.deadline = core.Never
	for _, s := range h.sources {
		h.deadline = min(h.deadline, s.deadline())
	}
	for _, t := range h.topics {
		h.deadline = min(h.deadline, t.deadline())
	}
}
