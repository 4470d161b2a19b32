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

// maxIndexRecords bounds the records of the prompt index, of about 60 bytes each.
const maxIndexRecords = 40_000

// storeTimeout is how long after its last contact a store counts as unavailable. Its home polls it each
// second.
const storeTimeout = 2500 * time.Millisecond

// promptIndex is this node's part in the index of cached prompts: what it knows, and what it publishes
// to the others as home of some brokers.
type promptIndex struct {
	index            *kvindex.LockedIndex
	subscriber       *kvindex.Subscriber
	home             *kvindex.Home
	poller           *feed.Poller
	sourcesStale     bool                 // the sources must be computed again
	storeLastContact map[string]core.Time // by address, of stores that are available
}

// buildIndex builds the prompt index, its subscriber and this node's home of it.
func (a *Agent) buildIndex() {
	index := kvindex.NewLockedIndex(kvindex.NewIndex(maxIndexRecords))
	a.prompts = promptIndex{
		index:            index,
		storeLastContact: map[string]core.Time{},
		subscriber:       kvindex.NewSubscriber(index),
		home:             kvindex.NewHome(kvindex.HomeOptions{Epoch: uint64(time.Now().UnixMilli())}),
		poller: feed.New(a.options.NetworkMap, func(token uint64, events *kvindex.Events, err error) {
			a.post(func(now core.Time) { a.prompts.home.HandleEvents(now, token, events, err) })
		}),
	}
}

// refreshIndex computes the brokers and stores that this node polls for events as their home, and the
// subscribers to which it publishes them, where they may have changed.
func (a *Agent) refreshIndex(now core.Time) {
	if !a.prompts.sourcesStale {
		return
	}
	a.prompts.sourcesStale = false
	compiled := a.compiled.Load()
	if compiled == nil {
		return
	}
	table := a.control.Registry().Table()
	a.prompts.subscriber.SetTable(table)
	members := a.control.Members()
	a.prompts.home.SetSubscribers(proxyAddresses(members))
	a.prompts.home.SetSources(now, kvindex.SelectSources(table, compiled.Stores, func(service, zone string) bool {
		return indexHome(members, service, zone) == a.self.NodeId
	}))
}

// proxyAddresses returns the internal addresses of the nodes that serve clients.
func proxyAddresses(members []*nodepb.Member) []string {
	var addresses []string
	for _, member := range members {
		if member.ServesFront {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// indexHome returns the id of the node that polls the brokers of a service in a zone for their events:
// one of that zone where there is one. Every node computes the same from the same members.
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

// recordStoreContact records a contact with a store, and tells the router that it is available.
func (a *Agent) recordStoreContact(now core.Time, seen core.StoreContacted) {
	a.prompts.storeLastContact[seen.Address] = now
	a.router.RecordStoreHealth(now, seen.Address, true, seen.ContentsLost)
}

// expireStores tells the router of stores whose last contact is older than storeTimeout.
func (a *Agent) expireStores(now core.Time) {
	for address, lastContact := range a.prompts.storeLastContact {
		if now-lastContact > storeTimeout {
			delete(a.prompts.storeLastContact, address)
			a.router.RecordStoreHealth(now, address, false, false)
		}
	}
}

// executeForIndex executes outputs of the index's state machines. It reports false for other outputs.
func (a *Agent) executeForIndex(now core.Time, output core.Output) bool {
	switch output := output.(type) {
	case core.FetchEvents:
		a.prompts.poller.Fetch(output)
	case core.StoreContacted:
		a.recordStoreContact(now, output)
	default:
		return false
	}
	return true
}
