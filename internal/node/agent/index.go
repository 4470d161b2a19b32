package agent

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/kvindex/feed"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// indexRecords bounds the index of kept prompts: about 60 bytes each.
const indexRecords = 40_000

// storeSilence is how long a store may give no sign of life before it is taken to be down: its home asks it each second.
const storeSilence = 2500 * time.Millisecond

// promptIndex is this node's part in the index of kept prompts: what it knows, and what it tells the others as home.
type promptIndex struct {
	index      *kvindex.Guarded
	subscriber *kvindex.Subscriber
	home       *kvindex.Home
	poller     *feed.Poller
	stale      bool                 // the sources are to be found anew
	stores     map[string]core.Time // the last sign of life of each store, by address
}

func (a *Agent) buildIndex() {
	index := kvindex.NewGuarded(kvindex.NewIndex(indexRecords))
	a.prompts = promptIndex{
		index:      index,
		stores:     map[string]core.Time{},
		subscriber: kvindex.NewSubscriber(index),
		home:       kvindex.NewHome(kvindex.HomeOptions{Epoch: uint64(time.Now().UnixMilli())}),
		poller: feed.New(func(token uint64, events *kvindex.Events, err error) {
			a.post(func(now core.Time) { a.prompts.home.EventsDone(now, token, events, err) })
		}),
	}
}

// refreshIndex finds the brokers and stores whose events this node asks for, and who is to hear of them.
func (a *Agent) refreshIndex(now core.Time) {
	if !a.prompts.stale {
		return
	}
	a.prompts.stale = false
	compiled := a.compiled.Load()
	if compiled == nil {
		return
	}
	table := a.control.Registry().Table()
	a.prompts.subscriber.SetTable(table)
	members := a.control.Members()
	a.prompts.home.SetSubscribers(proxyAddresses(members))
	a.prompts.home.SetSources(now, kvindex.SourcesOf(table, compiled.Stores, func(service, zone string) bool {
		return indexHome(members, service, zone) == a.self.NodeId
	}))
}

func proxyAddresses(members []*nodepb.Member) []string {
	var addresses []string
	for _, member := range members {
		if member.ServesFront {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// indexHome is the node that asks the brokers of a service in a zone for their events: one of that zone where there is one.
func indexHome(members []*nodepb.Member, service, zone string) string {
	candidates := slices.Clone(members)
	candidates = slices.DeleteFunc(candidates, func(m *nodepb.Member) bool { return m.Zone != zone })
	if len(candidates) == 0 {
		candidates = members
	}
	if len(candidates) == 0 {
		return ""
	}
	best := rendezvous.Best("index/"+service+"/"+zone, candidates, func(m *nodepb.Member) string { return m.NodeId })
	return best.NodeId
}

// noteStore remembers a sign of life of a store.
func (a *Agent) noteStore(now core.Time, seen core.StoreContacted) {
	a.prompts.stores[seen.Address] = now
	a.router.StoreSeen(now, seen.Address, true, seen.ContentsLost)
}

// doubtStores tells the router of stores that have given no sign of life for a while.
func (a *Agent) doubtStores(now core.Time) {
	for address, at := range a.prompts.stores {
		if now-at > storeSilence {
			delete(a.prompts.stores, address)
			a.router.StoreSeen(now, address, false, false)
		}
	}
}

// carryOutIndex does what the index's state machines ask for; false: it is not theirs.
func (a *Agent) carryOutIndex(now core.Time, output core.Output) bool {
	switch output := output.(type) {
	case core.FetchEvents:
		a.prompts.poller.Ask(output)
	case core.StoreContacted:
		a.noteStore(now, output)
	default:
		return false
	}
	return true
}
