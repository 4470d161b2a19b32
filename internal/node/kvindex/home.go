package kvindex

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// HomeOptions bound what a home does.
type HomeOptions struct {
	// Epoch of the topics of this node's life: the time of day at its start in milliseconds, so that a later home's is higher.
	Epoch uint64
	// BytesPerSecond is about how much is sent to each subscriber for each topic; 0: defaultBytesPerSecond.
	BytesPerSecond int
	// MinTokens is the size under which parts are not told of; 0: defaultLeastTokens.
	MinTokens int
}

const (
	defaultBytesPerSecond = 8 << 10
	defaultMinTokens      = 64
)

// Home polls the brokers and stores that this node is home of, and spreads what they keep.
type Home struct {
	options     HomeOptions
	topics      map[topicKey]*topic
	sources     map[string]*source // by name
	subscribers []string
	lastCallID  uint64
	lastNumber  uint64
	deadline    core.Time
}

// NewHome returns a home of nothing.
func NewHome(options HomeOptions) *Home {
	if options.BytesPerSecond == 0 {
		options.BytesPerSecond = defaultBytesPerSecond
	}
	if options.MinTokens == 0 {
		options.MinTokens = defaultMinTokens
	}
	return &Home{options: options, topics: map[topicKey]*topic{}, sources: map[string]*source{}, deadline: core.Never}
}

// Deadline is when Tick is to be called; it may change with each input.
func (h *Home) Deadline() core.Time { return h.deadline }

// SetSubscribers names the internal addresses of all nodes that are to hear of changes.
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

// SetSources names all brokers and stores that this node is home of.
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

func (h *Home) addSource(now core.Time, item Source) {
	h.lastNumber++
	s := &source{Source: item, number: h.lastNumber, cached: map[partKey]cachedPart{}, nextCallAt: now + h.stagger()}
	h.sources[item.name()] = s
	id := topicKey{item.Service, item.Zone}
	t := h.topics[id]
	if t == nil {
		t = newTopic(id, h.options.Epoch+uint64(now/time.Millisecond), now)
		h.topics[id] = t
	}
	t.sources = append(t.sources, s)
}

// stagger spreads the calls of the sources over a period.
func (h *Home) stagger() time.Duration {
	const steps = 8
	return time.Duration(h.lastNumber%steps) * eventPollInterval / steps
}

func (h *Home) removeSource(name string) {
	s := h.sources[name]
	if s == nil {
		return
	}
	delete(h.sources, name)
	id := topicKey{s.Service, s.Zone}
	t := h.topics[id]
	t.sources = slices.DeleteFunc(t.sources, func(other *source) bool { return other == s })
	t.dropHolder(name)
	if len(t.sources) == 0 {
		delete(h.topics, id)
	}
}

// Tick makes the calls and sends the updates that are due.
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

func (h *Home) pollSource(now core.Time, s *source) core.Output {
	h.lastCallID++
	s.callID = h.lastCallID
	s.calledAt = now
	return core.FetchEvents{Token: s.callID, Instance: s.Instance, Address: s.Address, Since: s.cursor, Wait: maxLongPoll}
}

func (h *Home) broadcast(update *nodepb.IndexUpdate, outputs []core.Output) []core.Output {
	for _, address := range h.subscribers {
		outputs = append(outputs, sendUpdate(address, update))
	}
	return outputs
}

func sendUpdate(address string, update *nodepb.IndexUpdate) core.Output {
	return core.Send{Destination: address, Message: &nodepb.Envelope{Body: &nodepb.Envelope_IndexUpdate{IndexUpdate: update}}}
}

// EventsDone takes the answer to a call, or an error.
func (h *Home) EventsDone(now core.Time, callID uint64, events *Events, err error) {
	s := h.sourceOfCall(callID)
	if s == nil {
		return
	}
	if err != nil || events == nil {
		s.backOff(now)
	} else {
		reset, changed := s.handleEvents(events, now)
		t := h.topics[topicKey{s.Service, s.Zone}]
		t.recordEvents(now, s, reset, changed, uint32(h.options.MinTokens))
	}
	h.updateDeadline()
}

func (h *Home) sourceOfCall(callID uint64) *source {
	for _, s := range h.sources {
		if s.callID == callID && callID != 0 {
			return s
		}
	}
	return nil
}

// HandlePoll answers a subscriber that missed updates.
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

func (h *Home) updateDeadline() {
	h.deadline = core.Never
	for _, s := range h.sources {
		h.deadline = min(h.deadline, s.deadline())
	}
	for _, t := range h.topics {
		h.deadline = min(h.deadline, t.deadline())
	}
}
