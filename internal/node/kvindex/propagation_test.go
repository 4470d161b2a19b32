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

// fleet is a home, subscribers and sources under a simulated clock.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     core.Time
	home    *Home
	sources map[string]*testSource // by address
	subs    map[string]*testSubscriber
	loss    float64 // of messages
	sent    int     // changes received, summed over the subscribers
	calls   int
	lost    int // StoreContacted with ContentsLost
	alive   int
}

type testSubscriber struct {
	index *Guarded
	core  *Subscriber
}

// testSource is a broker or store that caches parts and reports events of them.
type testSource struct {
	epoch  uint64
	down   bool
	cached map[partKey]int
	events []Event
	calls  int
}

func newFleet(t *testing.T, seed uint64, subscribers int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), sources: map[string]*testSource{}, subs: map[string]*testSubscriber{},
		home: NewHome(HomeOptions{Epoch: 1000}),
	}
	var addresses []string
	for i := range subscribers {
		index := NewGuarded(NewIndex(10000))
		address := fmt.Sprintf("sub-%d", i)
		addresses = append(addresses, address)
		f.subs[address] = &testSubscriber{index: index, core: NewSubscriber(index)}
	}
	f.home.SetSubscribers(addresses)
	return f
}

func (f *fleet) add(instance, address string) Source {
	f.sources[address] = &testSource{epoch: 7, cached: map[partKey]int{}}
	return Source{Instance: instance, Address: address, Service: "llm", Zone: "z"}
}

func (s *testSource) set(salt, part uint64, tokens int) {
	s.cached[partKey{salt, part}] = tokens
	s.events = append(s.events, Event{Salt: salt, Part: part, Tokens: tokens})
}

func (s *testSource) restart() {
	s.epoch++
	s.events = nil
	clear(s.cached)
}

// run advances the clock.
func (f *fleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += 50 * time.Millisecond {
		if f.home.Deadline() <= f.now {
			f.deliver(f.home.Tick(f.now), core.Peer{Address: "home"})
		}
	}
}

func (f *fleet) deliver(outputs []core.Output, from core.Peer) {
	for _, output := range outputs {
		switch output := output.(type) {
		case core.FetchEvents:
			f.calls++
			f.answer(output)
		case core.StoreContacted:
			if output.ContentsLost {
				f.lost++
			}
			f.alive++
		case core.Send:
			if f.random.Float64() >= f.loss {
				f.receive(output, from)
			}
		}
	}
}

func (f *fleet) receive(send core.Send, from core.Peer) {
	switch body := send.Message.Body.(type) {
	case *nodepb.Envelope_IndexUpdate:
		f.sent += len(body.IndexUpdate.Changes)
		f.deliver(f.subs[send.Destination].core.HandleUpdate(f.now, from, body.IndexUpdate), core.Peer{Address: send.Destination})
	case *nodepb.Envelope_IndexPoll:
		f.deliver(f.home.HandlePoll(f.now, from, body.IndexPoll), core.Peer{Address: "home"})
	}
}

func (f *fleet) answer(ask core.FetchEvents) {
	s := f.sources[ask.Address]
	s.calls++
	if s.down {
		f.home.EventsDone(f.now, ask.Token, nil, errors.New("no connection"))
		return
	}
	events := &Events{Epoch: s.epoch, Next: uint64(len(s.events))}
	if since := int(ask.Since); since < len(s.events) {
		events.List = s.events[since:]
	}
	f.home.EventsDone(f.now, ask.Token, events, nil)
}

// holds asserts how many tokens of a part a holder caches by every subscriber's index.
func (f *fleet) holds(name string, part uint64, tokens int) {
	f.t.Helper()
	for address, sub := range f.subs {
		got := 0
		for _, h := range sub.index.Holders(saltA, []prompt.Part{{ID: part, Tokens: 1 << 20}}) {
			if h.Instance == name {
				got = h.Tokens
			}
		}
		assert.Equal(f.t, got, tokens, "%s of %s at %s", fmt.Sprint(part), name, address)
	}
}

func TestCacheChangesReachSubscribers(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.home.SetSources(f.now, []Source{f.add("i-1", "a:1"), f.add("i-2", "a:2")})
	f.sources["a:1"].set(saltA, 5, 800)
	f.sources["a:2"].set(saltA, 6, 400)
	f.sources["a:2"].set(saltA, 7, 32) // too small to be announced
	f.run(3 * time.Second)
	f.holds("i-1", 5, 800)
	f.holds("i-2", 6, 400)
	f.holds("i-2", 7, 0)
	f.sources["a:1"].set(saltA, 5, 128)
	f.sources["a:2"].set(saltA, 6, 0)
	f.run(3 * time.Second)
	f.holds("i-1", 5, 128)
	f.holds("i-2", 6, 0)
	f.sources["a:1"].set(saltA, 5, 16) // what was announced is corrected, although it is small now
	f.run(3 * time.Second)
	f.holds("i-1", 5, 16)
}

func TestRestartDropsCachedParts(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.home.SetSources(f.now, []Source{f.add("", "store:1")})
	f.sources["store:1"].set(saltA, 5, 800)
	f.sources["store:1"].set(saltA, 6, 800)
	f.run(3 * time.Second)
	f.holds("store:1", 5, 800)
	f.sources["store:1"].restart()
	f.sources["store:1"].set(saltA, 6, 700)
	f.run(4 * time.Second)
	f.holds("store:1", 5, 0)
	f.holds("store:1", 6, 700)
	assert.Assert(t, f.lost >= 2)
}

func TestStoreIsReportedAliveOnlyWhileItAnswers(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.home.SetSources(f.now, []Source{f.add("", "store:1")})
	f.run(10 * time.Second)
	assert.Assert(t, f.alive >= 8, "%d", f.alive)
	f.sources["store:1"].down = true
	f.run(2 * time.Second)
	aliveWhenDown := f.alive
	f.run(20 * time.Second)
	assert.Equal(t, f.alive, aliveWhenDown)
	assert.Assert(t, f.sources["store:1"].calls < 25)
}

func TestCallRateIsBounded(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.home.SetSources(f.now, []Source{f.add("i-1", "a:1"), f.add("i-2", "a:2"), f.add("i-3", "a:3")})
	for part := range uint64(60) {
		f.sources["a:1"].set(saltA, part+1, 100)
		f.run(time.Second)
	}
	assert.Assert(t, f.calls <= 3*62, "%d", f.calls)
	f.holds("i-1", 30, 100)
}

func TestLostUpdatesAreRepaired(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, 4)
		f.home.SetSources(f.now, []Source{f.add("i-1", "a:1"), f.add("i-2", "a:2")})
		f.loss = 0.4
		for range 40 {
			source := f.sources[[]string{"a:1", "a:2"}[f.random.IntN(2)]]
			source.set(saltA, 1+f.random.Uint64N(50), 64*f.random.IntN(20))
			if f.random.IntN(10) == 0 {
				source.restart()
			}
			f.run(time.Duration(f.random.IntN(1500)) * time.Millisecond)
		}
		f.loss = 0
		f.sources["a:1"].set(saltA, 99, 100) // the next update shows the gap
		f.run(5 * time.Second)
		f.sources["a:1"].set(saltA, 99, 200)
		f.run(5 * time.Second)
		for part := uint64(1); part <= 50; part++ {
			f.holds("i-1", part, f.sources["a:1"].cached[partKey{saltA, part}])
			f.holds("i-2", part, f.sources["a:2"].cached[partKey{saltA, part}])
		}
	}
}

func TestNewSubscriberReceivesSnapshot(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.home.SetSources(f.now, []Source{f.add("i-1", "a:1")})
	f.sources["a:1"].set(saltA, 5, 800)
	f.run(3 * time.Second)
	for range 20 {
		f.sources["a:1"].set(saltA, 6, 64+f.random.IntN(1000))
		f.run(time.Second)
	}
	index := NewGuarded(NewIndex(100))
	f.subs["late"] = &testSubscriber{index: index, core: NewSubscriber(index)}
	f.home.SetSubscribers([]string{"sub-0", "sub-1", "late"})
	f.sources["a:1"].set(saltA, 6, 640)
	f.run(3 * time.Second)
	f.holds("i-1", 5, 800)
	f.holds("i-1", 6, 640)
}

func TestLaterHomeTakesOver(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.home.SetSources(f.now, []Source{f.add("i-1", "a:1")})
	f.sources["a:1"].set(saltA, 5, 800)
	f.run(3 * time.Second)
	former := f.home
	f.home = NewHome(HomeOptions{Epoch: 1000})
	f.home.SetSubscribers([]string{"sub-0", "sub-1"})
	f.home.SetSources(f.now, []Source{{Instance: "i-1", Address: "a:1", Service: "llm", Zone: "z"}})
	f.sources["a:1"].set(saltA, 5, 0)
	f.sources["a:1"].set(saltA, 6, 300)
	f.run(3 * time.Second)
	f.holds("i-1", 5, 0)
	f.holds("i-1", 6, 300)
	f.deliver(former.Tick(f.now), core.Peer{Address: "former"}) // still takes itself for the home
	f.holds("i-1", 6, 300)
}

func TestBroadcastRateIsBounded(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.home = NewHome(HomeOptions{Epoch: 1000, BytesPerSecond: 100 * bytesPerChange})
	f.home.SetSubscribers([]string{"sub-0"})
	f.home.SetSources(f.now, []Source{f.add("i-1", "a:1"), f.add("i-2", "a:2")})
	f.run(2 * time.Second)
	next := uint64(1000)
	for second := range 20 {
		for range 500 {
			next++
			f.sources["a:1"].set(saltA, next, 900)
		}
		shared := uint64(1 + second)
		f.sources["a:1"].set(saltA, shared, 100)
		f.sources["a:2"].set(saltA, shared, 100)
		f.run(time.Second)
	}
	f.run(3 * time.Second)
	assert.Assert(t, f.sent <= 25*103, "%d", f.sent)
	topic := f.home.topics[topicKey{"llm", "z"}]
	assert.Assert(t, len(topic.pending) <= 500*7, "%d", len(topic.pending))
	for second := range uint64(20) {
		f.holds("i-2", 1+second, 100) // seen twice, so shared: announced before what is larger but was seen once
	}
}

func TestNewWeightsOrDepartureDropCachedParts(t *testing.T) {
	f := newFleet(t, 1, 1)
	subscriber, index := f.subs["sub-0"].core, f.subs["sub-0"].index
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
	f.holds("i-1", 5, 800)
	subscriber.SetTable(table(2))
	f.holds("i-1", 5, 0)
	f.holds("i-2", 5, 800)
	subscriber.SetTable(&registry.Table{})
	f.holds("i-2", 5, 0)
}
