package processfaults

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
)

// keySeries takes keys away from tenants while processes are disturbed, and has clients go on using them. Which of their requests ran,
// and for which tenant, is judged by what brokers received (fleet.Check).
type keySeries struct {
	before     tenantStep // that is acknowledged first
	withdrawal tenantStep // that takes the keys away
	keys       []string   // that are taken away
	after      tenantStep // that follows while the keys stay revoked; firstTenants: none
}

const (
	// connectionsPerKey is how many connections clients keep open to the disturbed node, for each key.
	connectionsPerKey = 4
	// sentAfterRevocation is how long after the bound on revocation the first requests are sent.
	sentAfterRevocation = 200 * time.Millisecond
	// probeRounds is how often each node is then sent each key on a connection of its own, and probeRoundInterval the time between.
	probeRounds        = 3
	probeRoundInterval = 300 * time.Millisecond
)

// firstKeys are the keys of the first configuration, but for that which operators exchange.
func firstKeys() []string {
	var keys []string
	for _, tenant := range fleet.FirstTenants() {
		keys = append(keys, tenant.APIKeys...)
	}
	return keys
}

// withdrawing returns the injector of a series.
func withdrawing(series keySeries) injector {
	return func(r *run, fault Fault) func() {
		proxies := r.fleet.Nodes[len(r.fleet.Core()):]
		node := proxies[fault.Node%len(proxies)]
		r.actions.Go(func() { r.withdrawKeys(series, fault, node) })
		return nil
	}
}

// withdrawKeys plays a series: the keys are taken away beside a disturbance, sent on open connections to the disturbed node and on new
// ones to all nodes once they must not be served any more, and again after another list of tenants has come.
func (r *run) withdrawKeys(series keySeries, fault Fault, node *fleet.Node) {
	r.tenantFault.Lock()
	defer r.tenantFault.Unlock()
	defer r.takeStep(firstTenants)
	if series.before != firstTenants && !r.takeStep(series.before) {
		return
	}
	kept := r.openKept(series, node)
	disturbance := keyDisturbances[fault.Peer%len(keyDisturbances)]
	r.logf("%v are taken away beside: %s of %s", series.keys, disturbance.name, node.Name)
	end := disturbance.begin(r, fault, node)
	ackedAt, acknowledged := r.await(r.tenants.request(series.withdrawal))
	if acknowledged {
		r.logf("the withdrawal of %v is acknowledged", series.keys)
		disturbance.acknowledged(r, fault)
		_ = r.sleep(time.Until(ackedAt.Add(fleet.DefaultBounds().Revoke + sentAfterRevocation)))
	} else {
		r.logf("the withdrawal of %v is not acknowledged", series.keys)
	}
	r.background.Go(func() { r.sendOnKept(kept) })
	_ = r.sleep(frozenAfterSending)
	end()
	r.probeKeys(series.keys)
	if series.after != firstTenants && r.takeStep(series.after) {
		r.probeKeys(series.keys)
	}
}

// takeStep has operators take a step, and reports whether that is acknowledged.
func (r *run) takeStep(step tenantStep) bool {
	_, acknowledged := r.await(r.tenants.request(step))
	if !acknowledged {
		r.logf("step %d of the tenants is not acknowledged", step)
	}
	return acknowledged
}

// openKept opens connections to a node for each key of a series.
func (r *run) openKept(series keySeries, node *fleet.Node) []*fleet.KeptClients {
	kept := make([]*fleet.KeptClients, len(series.keys))
	var opening sync.WaitGroup
	for i, key := range series.keys {
		opening.Go(func() {
			clients, err := r.load.OpenKept(node, key, connectionsPerKey, r.plan.Seed)
			if err != nil {
				r.logf("%v", err)
				return
			}
			kept[i] = clients
		})
	}
	opening.Wait()
	return slices.DeleteFunc(kept, func(clients *fleet.KeptClients) bool { return clients == nil })
}

// sendOnKept sends a request on each kept connection, as often as the others are probed, and closes them.
func (r *run) sendOnKept(kept []*fleet.KeptClients) {
	sent, answered := 0, 0
	for range probeRounds {
		for _, clients := range kept {
			some, ok := clients.SendAll()
			sent, answered = sent+some, answered+ok
		}
		_ = r.sleep(probeRoundInterval)
	}
	for _, clients := range kept {
		clients.Close()
	}
	r.countSeries(sent)
	r.logf("%d requests with revoked keys on open connections, %d answered", sent, answered)
}

// probeKeys sends each node the keys, one that no configuration has, and none at all.
func (r *run) probeKeys(keys []string) {
	statuses := map[int]int{}
	var mutex sync.Mutex
	for range probeRounds {
		var probing sync.WaitGroup
		for _, node := range r.fleet.Nodes {
			if !node.Running() {
				continue
			}
			probing.Go(func() {
				for _, key := range append([]string{unknownKey, ""}, keys...) {
					status := r.load.ProbeKey(node, key)
					mutex.Lock()
					statuses[status]++
					mutex.Unlock()
				}
			})
		}
		r.background.Go(probing.Wait) // a frozen node answers late
		_ = r.sleep(probeRoundInterval)
	}
	mutex.Lock()
	defer mutex.Unlock()
	sent := 0
	for _, count := range statuses {
		sent += count
	}
	r.countSeries(sent)
	r.logf("%d requests with revoked and unknown keys, by status: %s", sent, describeStatuses(statuses))
}

// countSeries counts requests of a series.
func (r *run) countSeries(sent int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seriesSent += sent
}

// describeStatuses lists how often each status came; 0: no answer.
func describeStatuses(statuses map[int]int) string {
	text := ""
	for status := range http.StatusNetworkAuthenticationRequired {
		if count := statuses[status]; count > 0 {
			text += fmt.Sprintf(" %d: %d", status, count)
		}
	}
	return text
}

// keyDisturbance disturbs processes while keys are taken away.
type keyDisturbance struct {
	name         string
	begin        func(r *run, fault Fault, node *fleet.Node) (end func())
	acknowledged func(r *run, fault Fault) // called as soon as the withdrawal is acknowledged
}

var keyDisturbances = []keyDisturbance{
	{"freeze", whileClaimed((*run).freezeAndPartition), noDisturbance},
	{"cut", whileClaimed((*run).partition), noDisturbance},
	{"kill of all", notBefore, func(r *run, fault Fault) { r.killAll(downTime(fault)) }},
	{"lost disk", notBefore, func(r *run, fault Fault) { r.wipeCoreNode(fault.Node, downTime(fault)) }},
}

// whileClaimed disturbs a node for which no other fault is under way.
func whileClaimed(disturb func(r *run, node *fleet.Node) (end func())) func(*run, Fault, *fleet.Node) func() {
	return func(r *run, _ Fault, node *fleet.Node) func() {
		if !r.claims.claim(node) {
			return func() {}
		}
		end := disturb(r, node)
		return func() {
			end()
			r.releaseOrRestart(node)
		}
	}
}

// noDisturbance: processes are disturbed before the acknowledgement alone.
func noDisturbance(*run, Fault) {}

// notBefore: processes are not disturbed before the acknowledgement.
func notBefore(*run, Fault, *fleet.Node) func() { return func() {} }

// downTime is how long processes are gone that a fault has killed.
func downTime(fault Fault) time.Duration { return min(max(fault.Duration(), minDownTime), maxDownTime) }
