package processfaults

import (
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
)

const (
	// isolationConnections is how many connections clients keep open to the node that can't hear of the isolation.
	isolationConnections = 16
	// sentAfterIsolation is when they send on these, after the acknowledgement. WALL has no bound in time.
	sentAfterIsolation = 200 * time.Millisecond
	// frozenAfterSending is how long the node then stays frozen.
	frozenAfterSending = 100 * time.Millisecond
)

// isolation is the order that isolates a tenant, which the first operator sends with its next change.
type isolation struct {
	mutex     sync.Mutex
	reserved  bool // a fault will ask for it
	requested bool
	ackedAt   chan time.Time // gets the time of the acknowledgement, once
	done      bool
}

func newIsolationOrder() *isolation { return &isolation{ackedAt: make(chan time.Time, 1)} }

// reserve gives the right to ask for the isolation to the first fault that wants it.
func (i *isolation) reserve() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	first := !i.reserved
	i.reserved = true
	return first
}

// request asks for the isolation, once nothing reaches the node any more that is not to hear of it.
func (i *isolation) request() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.requested = true
}

// wanted reports whether the next change is to isolate the tenant. All later ones do so too: an order without a clear answer may not
// be in force.
func (i *isolation) wanted() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.requested
}

// acknowledged records the acknowledgement of a change that isolates the tenant. It reports whether that is the first.
func (i *isolation) acknowledged(at time.Time) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.done {
		return false
	}
	i.done = true
	i.ackedAt <- at
	return true
}

// isolateWhileFrozen has a tenant isolated while a node is frozen and cut off.
func (r *run) isolateWhileFrozen(fault Fault) func() {
	return r.isolateWhile(fault, r.freezeAndPartition)
}

// isolateWhilePartitioned has a tenant isolated while a node is cut from the others, but not from the brokers.
func (r *run) isolateWhilePartitioned(fault Fault) func() { return r.isolateWhile(fault, r.partition) }

// isolateWhile disturbs a node, has a tenant isolated meanwhile, and sends requests of the tenant on open connections to the node
// after that was acknowledged.
func (r *run) isolateWhile(fault Fault, disturb func(node *fleet.Node) (end func())) func() {
	if !r.isolation.reserve() {
		return nil
	}
	r.actions.Go(func() {
		r.tenantFault.Lock()
		defer r.tenantFault.Unlock()
		node := r.claimProxy(fault.Node)
		if node == nil {
			return
		}
		kept, err := r.load.OpenKept(node, fleet.KeyIsolatedLater, isolationConnections, r.plan.Seed)
		if err != nil {
			r.logf("%v", err)
		}
		end := disturb(node)
		r.isolation.request()
		r.sendAfterIsolation(kept)
		end()
		r.releaseOrRestart(node)
	})
	return nil
}

// claimProxy reserves a node without a disk, the one at the index or the next that is free; nil: there is none.
func (r *run) claimProxy(index int) *fleet.Node {
	proxies := r.fleet.Nodes[len(r.fleet.Core()):]
	for i := range proxies {
		if node := proxies[(index+i)%len(proxies)]; r.claims.claim(node) {
			return node
		}
	}
	return nil
}

// sendAfterIsolation waits for the acknowledgement and sends requests on the kept connections; nil: there are none. It returns while
// the answers are still awaited.
func (r *run) sendAfterIsolation(kept *fleet.KeptClients) {
	if ackedAt, acknowledged := r.await(r.isolation.ackedAt); acknowledged {
		r.logf("the isolation of a tenant is acknowledged")
		_ = r.sleep(time.Until(ackedAt.Add(sentAfterIsolation)))
	} else {
		r.logf("the isolation of a tenant is not acknowledged")
	}
	if kept == nil {
		return
	}
	r.background.Go(func() {
		defer kept.Close()
		sent, answered := kept.SendAll()
		r.logf("%d requests of the isolated tenant on open connections to a node that has not heard of it, %d answered", sent, answered)
	})
	_ = r.sleep(frozenAfterSending)
}
