package processfaults

import (
	"context"
	"os"
	"time"

	"kestrelspread/internal/harness/fleet"
)

// partitionedAfterThaw is how long a node stays cut off after its thaw: what it serves first must not depend on what waits for it in its sockets.
const partitionedAfterThaw = 300 * time.Millisecond

// freezeAndPartition freezes a node. Where links can be cut it is cut off from the others as well, for a little longer.
func (r *run) freezeAndPartition(node *fleet.Node) (end func()) {
	heal := r.partitionFromOthers(node)
	if err := node.Freeze(); err != nil && node.Running() { // else a kill of all processes has ended it since it was reserved
		r.fail("freeze %s: %v", node.Name, err)
	}
	return func() {
		if err := node.Thaw(); err != nil {
			r.fail("thaw %s: %v", node.Name, err)
		}
		_ = r.sleep(partitionedAfterThaw)
		heal()
	}
}

// partition cuts a node from the others, but not from the brokers.
func (r *run) partition(node *fleet.Node) (end func()) {
	heal := r.partitionFromOthers(node)
	return func() {
		_ = r.sleep(partitionedAfterThaw)
		heal()
	}
}

// partitionFromOthers cuts a node from all others, but not from the brokers, if the fleet has relays.
func (r *run) partitionFromOthers(node *fleet.Node) (heal func()) {
	if !r.plan.relayed() {
		return func() {}
	}
	return r.fleet.PartitionFromNodes(node)
}

// releaseOrRestart gives a node free, and starts it again if a kill of all processes has ended it.
func (r *run) releaseOrRestart(node *fleet.Node) {
	if !node.Running() {
		r.restart(node)
		return
	}
	r.claims.release(node)
}

// wipeCoreNode kills a node with a disk and starts it on an empty one, if no other loss may still be under repair.
func (r *run) wipeCoreNode(index int, downTime time.Duration) {
	node := r.coreNode(index)
	if !r.coreComplete() || !r.claims.claim(node) {
		return
	}
	r.logf("%s loses its disk", node.Name)
	r.killAndLoseDisk(node)
	_ = r.sleep(downTime) // an end of the run starts it too: its last checks need it
	r.restart(node)
}

// killAndLoseDisk kills a node, and empties its disk.
func (r *run) killAndLoseDisk(node *fleet.Node) {
	node.Kill()
	if err := os.RemoveAll(node.DataDir()); err != nil {
		r.fail("wipe %s: %v", node.Name, err)
	}
}

// await waits for the acknowledgement of an order; false: it doesn't come in time.
func (r *run) await(acknowledged <-chan time.Time) (time.Time, bool) {
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	select {
	case at := <-acknowledged:
		return at, true
	case <-ctx.Done():
		return time.Time{}, false
	}
}
