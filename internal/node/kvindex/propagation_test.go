package kvindex

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/prompt"
)

// simulation runs a home with subscribers and sources under a simulated clock.
type simulation struct {
	t               *testing.T
	random          *rand.Rand
	now             core.Time
	home            *Home
	sources         map[string]*testSource // by address
	subscribers     map[string]*testSubscriber
	messageLoss     float64 // probability that a message is lost
	receivedChanges int     // number of changes that the subscribers received in total
	fetches         int     // calls to sources
	contentsLost    int     // StoreContacted outputs with ContentsLost
	storeContacts   int     // StoreContacted outputs
}

// testSubscriber is a subscriber and its index.
type testSubscriber struct {
	index      *Guarded
	subscriber *Subscriber
}

// testSource simulates a broker or store that caches parts and reports the changes as events.
type testSource struct {
	epoch       uint64
	unreachable bool // calls fail
	cached      map[partKey]int
	events      []Event // of the current epoch
	fetches     int     // calls received
}

// newSimulation returns a simulation with the given number of subscribers and without sources.
func newSimulation(t *testing.T, seed uint64, subscribers int) *simulation {
	t.Helper()
	s := &simulation{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 3)),
		home:        NewHome(HomeOptions{Epoch: 1000}),
		sources:     map[string]*testSource{},
		subscribers: map[string]*testSubscriber{},
	}
	var addresses []string
	for i := range subscribers {
		index := NewGuarded(NewIndex(10000))
		address := fmt.Sprintf("sub-%d", i)
		addresses = append(addresses, address)
		s.subscribers[address] = &testSubscriber{index: index, subscriber: NewSubscriber(index)}
	}
	s.home.SetSubscribers(addresses)
	return s
}

// addSource adds a source at an address: a broker, or a store if instance is empty.
func (s *simulation) addSource(instance, address string) Source {
	s.sources[address] = &testSource{epoch: 7, cached: map[partKey]int{}}
	return Source{Instance: instance, Address: address, Service: "llm", Zone: "z"}
}

// set changes how many tokens of a part the source caches, and reports an event of it.
func (s *testSource) set(salt, part uint64, tokens int) {
	s.cached[partKey{salt, part}] = tokens
	s.events = append(s.events, Event{Salt: salt, Part: part, Tokens: tokens})
}

// restart starts a new epoch with an empty cache and no events.
func (s *testSource) restart() {
	s.epoch++
	s.events = nil
	clear(s.cached)
}

// run advances the clock by length in steps of 50 ms, and calls the home's Tick at each deadline.
func (s *simulation) run(length time.Duration) {
	for end := s.now + length; s.now < end; s.now += 50 * time.Millisecond {
		if s.home.Deadline() <= s.now {
			s.deliver(s.home.Tick(s.now), core.Peer{Address: "home"})
		}
	}
}

// deliver executes the outputs of a node: calls to sources, and messages, some of which are lost.
func (s *simulation) deliver(outputs []core.Output, from core.Peer) {
	for _, output := range outputs {
		switch output := output.(type) {
		case core.FetchEvents:
			s.fetches++
			s.answerFetch(output)
		case core.StoreContacted:
			if output.ContentsLost {
				s.contentsLost++
			}
			s.storeContacts++
		case core.Send:
			if s.random.Float64() >= s.messageLoss {
				s.receive(output, from)
			}
		}
	}
}

// receive passes a message to its destination and delivers the outputs of that.
func (s *simulation) receive(send core.Send, from core.Peer) {
	switch body := send.Message.Body.(type) {
	case *nodepb.Envelope_IndexUpdate:
		s.receivedChanges += len(body.IndexUpdate.Changes)
		s.deliver(s.subscribers[send.Destination].subscriber.HandleUpdate(s.now, from, body.IndexUpdate), core.Peer{Address: send.Destination})
	case *nodepb.Envelope_IndexPoll:
		s.deliver(s.home.HandlePoll(s.now, from, body.IndexPoll), core.Peer{Address: "home"})
	}
}

// answerFetch answers a call of the home to a source.
func (s *simulation) answerFetch(fetch core.FetchEvents) {
	source := s.sources[fetch.Address]
	source.fetches++
	if source.unreachable {
		s.home.EventsDone(s.now, fetch.Token, nil, errors.New("source is unreachable"))
		return
	}
	events := &Events{Epoch: source.epoch, Next: uint64(len(source.events))}
	if since := int(fetch.Since); since < len(source.events) {
		events.List = source.events[since:]
	}
	s.home.EventsDone(s.now, fetch.Token, events, nil)
}

// expectCached asserts that every subscriber's index reports the token count for a part at a holder.
func (s *simulation) expectCached(name string, part uint64, tokens int) {
	s.t.Helper()
	for address, sub := range s.subscribers {
		got := 0
		for _, h := range sub.index.Holders(saltA, []prompt.Part{{ID: part, Tokens: 1 << 20}}) {
			if h.Instance == name {
				got = h.Tokens
			}
		}
		assert.Equal(s.t, got, tokens, "tokens of part %s at holder %s in the index of %s", fmt.Sprint(part), name, address)
	}
}

func TestCacheChangesReachSubscribers(t *testing.T) {
	s := newSimulation(t, 1, 3)
	s.home.SetSources(s.now, []Source{s.addSource("i-1", "a:1"), s.addSource("i-2", "a:2")})
	s.sources["a:1"].set(saltA, 5, 800)
	s.sources["a:2"].set(saltA, 6, 400)
	s.sources["a:2"].set(saltA, 7, 32) // too small to be announced
	s.run(3 * time.Second)
	s.expectCached("i-1", 5, 800)
	s.expectCached("i-2", 6, 400)
	s.expectCached("i-2", 7, 0)
	s.sources["a:1"].set(saltA, 5, 128)
	s.sources["a:2"].set(saltA, 6, 0)
	s.run(3 * time.Second)
	s.expectCached("i-1", 5, 128)
	s.expectCached("i-2", 6, 0)
	s.sources["a:1"].set(saltA, 5, 16) // an announced part is corrected even if it is too small to be announced first
	s.run(3 * time.Second)
	s.expectCached("i-1", 5, 16)
}

func TestRestartDropsCachedParts(t *testing.T) {
	s := newSimulation(t, 1, 2)
	s.home.SetSources(s.now, []Source{s.addSource("", "store:1")})
	s.sources["store:1"].set(saltA, 5, 800)
	s.sources["store:1"].set(saltA, 6, 800)
	s.run(3 * time.Second)
	s.expectCached("store:1", 5, 800)
	s.sources["store:1"].restart()
	s.sources["store:1"].set(saltA, 6, 700)
	s.run(4 * time.Second)
	s.expectCached("store:1", 5, 0)
	s.expectCached("store:1", 6, 700)
	assert.Assert(t, s.contentsLost >= 2)
}

func TestStoreIsReportedAliveOnlyWhileItAnswers(t *testing.T) {
	s := newSimulation(t, 1, 1)
	s.home.SetSources(s.now, []Source{s.addSource("", "store:1")})
	s.run(10 * time.Second)
	assert.Assert(t, s.storeContacts >= 8, "%d", s.storeContacts)
	s.sources["store:1"].unreachable = true
	s.run(2 * time.Second)
	contactsBefore := s.storeContacts
	s.run(20 * time.Second)
	assert.Equal(t, s.storeContacts, contactsBefore)
	assert.Assert(t, s.sources["store:1"].fetches < 25)
}

func TestCallRateIsBounded(t *testing.T) {
	s := newSimulation(t, 1, 1)
	s.home.SetSources(s.now, []Source{s.addSource("i-1", "a:1"), s.addSource("i-2", "a:2"), s.addSource("i-3", "a:3")})
	for part := range uint64(60) {
		s.sources["a:1"].set(saltA, part+1, 100)
		s.run(time.Second)
	}
	assert.Assert(t, s.fetches <= 3*62, "%d", s.fetches)
	s.expectCached("i-1", 30, 100)
}

func TestLostUpdatesAreRepaired(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, seed, 4)
		s.home.SetSources(s.now, []Source{s.addSource("i-1", "a:1"), s.addSource("i-2", "a:2")})
		s.messageLoss = 0.4
		for range 40 {
			source := s.sources[[]string{"a:1", "a:2"}[s.random.IntN(2)]]
			source.set(saltA, 1+s.random.Uint64N(50), 64*s.random.IntN(20))
			if s.random.IntN(10) == 0 {
				source.restart()
			}
			s.run(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		}
		s.messageLoss = 0
		s.sources["a:1"].set(saltA, 99, 100) // the next update reveals the gap in the sequence
		s.run(5 * time.Second)
		s.sources["a:1"].set(saltA, 99, 200)
		s.run(5 * time.Second)
		for part := uint64(1); part <= 50; part++ {
			s.expectCached("i-1", part, s.sources["a:1"].cached[partKey{saltA, part}])
			s.expectCached("i-2", part, s.sources["a:2"].cached[partKey{saltA, part}])
		}
	}
}

func TestNewSubscriberReceivesSnapshot(t *testing.T) {
	s := newSimulation(t, 1, 2)
	s.home.SetSources(s.now, []Source{s.addSource("i-1", "a:1")})
	s.sources["a:1"].set(saltA, 5, 800)
	s.run(3 * time.Second)
	for range 20 {
		s.sources["a:1"].set(saltA, 6, 64+s.random.IntN(1000))
		s.run(time.Second)
	}
	index := NewGuarded(NewIndex(100))
	s.subscribers["late"] = &testSubscriber{index: index, subscriber: NewSubscriber(index)}
	s.home.SetSubscribers([]string{"sub-0", "sub-1", "late"})
	s.sources["a:1"].set(saltA, 6, 640)
	s.run(3 * time.Second)
	s.expectCached("i-1", 5, 800)
	s.expectCached("i-1", 6, 640)
}

func TestLaterHomeReplacesPreviousHome(t *testing.T) {
	s := newSimulation(t, 1, 2)
	s.home.SetSources(s.now, []Source{s.addSource("i-1", "a:1")})
	s.sources["a:1"].set(saltA, 5, 800)
	s.run(3 * time.Second)
	previousHome := s.home
	s.home = NewHome(HomeOptions{Epoch: 1000})
	s.home.SetSubscribers([]string{"sub-0", "sub-1"})
	s.home.SetSources(s.now, []Source{{Instance: "i-1", Address: "a:1", Service: "llm", Zone: "z"}})
	s.sources["a:1"].set(saltA, 5, 0)
	s.sources["a:1"].set(saltA, 6, 300)
	s.run(3 * time.Second)
	s.expectCached("i-1", 5, 0)
	s.expectCached("i-1", 6, 300)
	s.deliver(previousHome.Tick(s.now), core.Peer{Address: "former"}) // the previous home still sends updates
	s.expectCached("i-1", 6, 300)
}

func TestBroadcastRateIsBounded(t *testing.T) {
	s := newSimulation(t, 1, 1)
	s.home = NewHome(HomeOptions{Epoch: 1000, BytesPerSecond: 100 * bytesPerChange})
	s.home.SetSubscribers([]string{"sub-0"})
	s.home.SetSources(s.now, []Source{s.addSource("i-1", "a:1"), s.addSource("i-2", "a:2")})
	s.run(2 * time.Second)
	next := uint64(1000)
	for second := range 20 {
		for range 500 {
			next++
			s.sources["a:1"].set(saltA, next, 900)
		}
		shared := uint64(1 + second)
		s.sources["a:1"].set(saltA, shared, 100)
		s.sources["a:2"].set(saltA, shared, 100)
		s.run(time.Second)
	}
	s.run(3 * time.Second)
	assert.Assert(t, s.receivedChanges <= 25*103, "%d", s.receivedChanges)
	topic := s.home.topics[topicKey{"llm", "z"}]
	assert.Assert(t, len(topic.pending) <= 500*7, "%d", len(topic.pending))
	for second := range uint64(20) {
		s.expectCached("i-2", 1+second, 100) // shared, so announced before larger parts that were seen once
	}
}

func TestNewWeightsOrDepartureDropCachedParts(t *testing.T) {
	s := newSimulation(t, 1, 1)
	subscriber, index := s.subscribers["sub-0"].subscriber, s.subscribers["sub-0"].index
	parts := []prompt.Part{{ID: 5, Tokens: 800}}
	table := func(version uint64) *registry.Table {
		return &registry.Table{ByID: map[string]*registry.Instance{
			"i-1": {ID: "i-1", Versions: map[string]uint64{"m": version}},
			"i-2": {ID: "i-2", Versions: map[string]uint64{"m": 1}},
		}}
	}
	subscriber.SetTable(table(1))
	index.Observed("i-1", saltA, parts)
	index.Observed("i-2", saltA, parts)
	subscriber.SetTable(table(1))
	s.expectCached("i-1", 5, 800)
	subscriber.SetTable(table(2))
	s.expectCached("i-1", 5, 0)
	s.expectCached("i-2", 5, 800)
	subscriber.SetTable(&registry.Table{})
	s.expectCached("i-2", 5, 0)
}
