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
	// LeastTokens is the size under which parts are not told of; 0: defaultLeastTokens.
	LeastTokens int
}

const (
	defaultBytesPerSecond = 8 << 10
	defaultLeastTokens    = 64
)

// Home polls the brokers and stores that this node is home of, and spreads what they keep.
type Home struct {
	options     HomeOptions
	topics      map[topicID]*topic
	sources     map[string]*source // by name
	subscribers []string
	lastToken   uint64
	lastNumber  uint64
	deadline    core.Time
}

// NewHome returns a home of nothing.
func NewHome(options HomeOptions) *Home {
	if options.BytesPerSecond == 0 {
		options.BytesPerSecond = defaultBytesPerSecond
	}
	if options.LeastTokens == 0 {
		options.LeastTokens = defaultLeastTokens
	}
	return &Home{options: options, topics: map[topicID]*topic{}, sources: map[string]*source{}, deadline: core.Never}
}

// Deadline is when Tick is to be called; it may change with each input.
func (h *Home) Deadline() core.Time { return h.deadline }

// SetSubscribers names the internal addresses of all nodes that are to hear of changes.
func (h *Home) SetSubscribers(addresses []string) {
	h.subscribers = slices.Clone(addresses)
	for _, t := range h.topics {
		for address := range t.wholeAt {
			if !slices.Contains(addresses, address) {
				delete(t.wholeAt, address)
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
	h.planNext()
}

func (h *Home) addSource(now core.Time, item Source) {
	h.lastNumber++
	s := &source{Source: item, number: h.lastNumber, kept: map[partKey]keptPart{}, nextAt: now + h.stagger()}
	h.sources[item.name()] = s
	id := topicID{item.Service, item.Zone}
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
	return time.Duration(h.lastNumber%steps) * pollPeriod / steps
}

func (h *Home) removeSource(name string) {
	s := h.sources[name]
	if s == nil {
		return
	}
	delete(h.sources, name)
	id := topicID{s.Service, s.Zone}
	t := h.topics[id]
	t.sources = slices.DeleteFunc(t.sources, func(other *source) bool { return other == s })
	t.forgetPending(name)
	if len(t.sources) == 0 {
		delete(h.topics, id)
	}
}

// Tick makes the calls and sends the updates that are due.
func (h *Home) Tick(now core.Time) []core.Output {
	var outputs []core.Output
	for _, s := range h.dueSources(now) {
		outputs = append(outputs, h.call(now, s))
	}
	for _, t := range h.dueTopics(now) {
		outputs = h.spread(t.update(now, h.options.BytesPerSecond), outputs)
	}
	h.planNext()
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
		return cmp.Or(cmp.Compare(a.id.service, b.id.service), cmp.Compare(a.id.zone, b.id.zone))
	})
	return due
}

func (h *Home) call(now core.Time, s *source) core.Output {
	h.lastToken++
	s.token = h.lastToken
	s.calledAt = now
	return core.FetchEvents{Token: s.token, Instance: s.Instance, Address: s.Address, Since: s.since, Wait: longestWait}
}

func (h *Home) spread(update *nodepb.IndexUpdate, outputs []core.Output) []core.Output {
	for _, address := range h.subscribers {
		outputs = append(outputs, sendUpdate(address, update))
	}
	return outputs
}

func sendUpdate(address string, update *nodepb.IndexUpdate) core.Output {
	return core.Send{Destination: address, Message: &nodepb.Envelope{Body: &nodepb.Envelope_IndexUpdate{IndexUpdate: update}}}
}

// EventsDone takes the answer to a call, or an error.
func (h *Home) EventsDone(now core.Time, token uint64, events *Events, err error) {
	s := h.byToken(token)
	if s == nil {
		return
	}
	if err != nil || events == nil {
		s.failed(now)
	} else {
		reset, changed := s.answered(events, now)
		t := h.topics[topicID{s.Service, s.Zone}]
		t.note(now, s, reset, changed, uint32(h.options.LeastTokens))
	}
	h.planNext()
}

func (h *Home) byToken(token uint64) *source {
	for _, s := range h.sources {
		if s.token == token && token != 0 {
			return s
		}
	}
	return nil
}

// HandlePoll answers a subscriber that missed updates.
func (h *Home) HandlePoll(now core.Time, from core.Peer, poll *nodepb.IndexPoll) []core.Output {
	t := h.topics[topicID{poll.Service, poll.Zone}]
	if t == nil {
		return nil
	}
	var outputs []core.Output
	for _, update := range t.missed(now, from.Address, poll.Epoch, poll.Sequence) {
		outputs = append(outputs, sendUpdate(from.Address, update))
	}
	return outputs
}

func (h *Home) planNext() {
	h.deadline = core.Never
	for _, s := range h.sources {
		h.deadline = min(h.deadline, s.deadline())
	}
	for _, t := range h.topics {
		h.deadline = min(h.deadline, t.deadline())
	}
}
