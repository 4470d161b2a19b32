package processfaults

import (
	"context"
	"time"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/standin/llmbroker"
)

const (
	// maxStartDelayMs bounds the time from the kill of a node to its start.
	maxStartDelayMs = 300
	// maxSeeds is how many nodes the seeds of a node name, at the most.
	maxSeeds = 3
	// minSeedsDownTime is how long these nodes are gone at the least.
	minSeedsDownTime = 500 * time.Millisecond
)

// leaveAt has a broker announce at one node that it drains or is gone, as soon as that listens.
type leaveAt func(f *fleet.Fleet, ctx context.Context, broker *llmbroker.Broker, node *fleet.Node) (time.Time, error)

func (r *run) drainAtStartedNode(fault Fault) func() {
	return r.leaveAtStartedNode(fault, (*fleet.Fleet).DrainAt)
}

func (r *run) deregisterAtStartedNode(fault Fault) func() {
	return r.leaveAtStartedNode(fault, (*fleet.Fleet).DeregisterAt)
}

// leaveAtStartedNode exchanges the seeds of a node without a disk for other such nodes, kills all of these, and starts that node first.
// A broker leaves there in its first moments. The core is not disturbed.
func (r *run) leaveAtStartedNode(fault Fault, leave leaveAt) func() {
	node, seeds := r.claimWithSeeds(fault)
	if node == nil {
		return nil
	}
	leaving := r.replaceLeaving(fault)
	if leaving == nil {
		r.releaseAll(append(seeds, node))
		return nil
	}
	node.SetSeeds(seeds...)
	for _, killed := range append(seeds, node) {
		killed.Kill()
	}
	r.actions.Go(func() {
		defer func() {
			_ = r.sleep(max(fault.Duration(), minSeedsDownTime)) // an end of the run starts them too: its last checks need them
			for _, seed := range seeds {
				r.restart(seed)
			}
		}()
		_ = r.sleep(time.Duration(fault.Peer%maxStartDelayMs) * time.Millisecond)
		r.restart(node)
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		defer cancel()
		ackedAt, err := leave(r.fleet, ctx, leaving, node)
		r.background.Go(func() { r.endLeaving(leaving) })
		if err != nil {
			r.logf("%s: leaving at %s not acknowledged: %v", leaving.ID(), node.Name, err)
			return
		}
		r.logf("%s: leaving acknowledged %v ago, first called %s", leaving.ID(), time.Since(ackedAt).Round(time.Millisecond), node.Name)
	})
	return nil
}

// claimWithSeeds reserves a node without a disk, and others that its seeds are to name; nil: too few are free.
func (r *run) claimWithSeeds(fault Fault) (*fleet.Node, []*fleet.Node) {
	proxies := r.fleet.Nodes[len(r.fleet.Core()):]
	var claimed []*fleet.Node
	for i := range proxies {
		node := proxies[(fault.Node+i)%len(proxies)]
		if len(claimed) <= maxSeeds && r.claims.claim(node) {
			claimed = append(claimed, node)
		}
	}
	if len(claimed) < 2 {
		r.releaseAll(claimed)
		return nil, nil
	}
	return claimed[0], claimed[1:]
}

// releaseAll gives nodes free for other faults.
func (r *run) releaseAll(nodes []*fleet.Node) {
	for _, node := range nodes {
		r.claims.release(node)
	}
}
