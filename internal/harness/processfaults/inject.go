package processfaults

import (
	"context"
	"os"
	"time"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/harness/links"
)

// injector begins a fault and returns what ends it; nil: the fault can't be injected at present, or has ended already.
type injector func(r *run, fault Fault) (end func())

// injectors are the ways to inject each kind.
var injectors map[FaultKind]injector

func init() { // not in the declaration, as Validate refers to the table and injectors to plans
	injectors = map[FaultKind]injector{
		NodePartition:      (*run).partitionNode,
		PairPartition:      (*run).partitionPair,
		OneWayPartition:    (*run).partitionOneWay,
		CorePartition:      (*run).partitionCore,
		BrokerPartition:    (*run).partitionFromBroker,
		LinkDelay:          (*run).delayLinks,
		LinkLoss:           (*run).loseHalf,
		LinkReset:          (*run).resetLinks,
		SlowLink:           (*run).slowLinks,
		ProcessFreeze:      (*run).freeze,
		KillKeepDisk:       (*run).kill,
		KillWipeDisk:       (*run).killAndWipe,
		KillFullDisk:       (*run).killAndFill,
		CoreKill:           (*run).killCore,
		GracefulStop:       (*run).terminate,
		RollingRestart:     (*run).rollingRestart,
		HangUpSeries:       (*run).hangUpSeries,
		DrainKillAll:       (*run).drainAndKillAll,
		GoneKillAll:        (*run).deregisterAndKillAll,
		WeightsUpdate:      (*run).updateWeights,
		BrokerReplace:      (*run).replaceBroker,
		ClientGroup:        (*run).startClientGroup,
		StartedDrain:       (*run).drainAtStartedNode,
		StartedGone:        (*run).deregisterAtStartedNode,
		FrozenIsolation:    (*run).isolateWhileFrozen,
		PartitionIsolation: (*run).isolateWhilePartitioned,
		LastKey:            withdrawing(keySeries{before: grantKey, withdrawal: takeLastKey, keys: []string{movedKey}}),
		MovedKey:           withdrawing(keySeries{before: grantKey, withdrawal: moveKey, keys: []string{movedKey}}),
		AllTenants:         withdrawing(keySeries{withdrawal: removeTenants, keys: firstKeys(), after: otherKeys}),
		LastTenant:         withdrawing(keySeries{withdrawal: removeNext, keys: firstKeys(), after: otherKeys}),
		EmptyTenants:       withdrawing(keySeries{withdrawal: emptyList, keys: firstKeys(), after: otherKeys}),
		NoTenants:          withdrawing(keySeries{withdrawal: leaveOutList, keys: firstKeys(), after: otherKeys}),
	}
}

var (
	partitioned = links.Conditions{Partitioned: true}
	delayed     = links.Conditions{DelayMs: 120, JitterMs: 80}
	lossy       = links.Conditions{LossRate: 0.5}
	slow        = links.Conditions{RateKBps: 60}
)

// node selects one of all nodes.
func (r *run) node(index int) *fleet.Node { return r.fleet.Nodes[index%len(r.fleet.Nodes)] }

// coreNode selects one of the nodes with a disk.
func (r *run) coreNode(index int) *fleet.Node {
	core := r.fleet.Core()
	return core[index%len(core)]
}

// injectLinks applies a fault of links, and records it for the nodes.
func (r *run) injectLinks(fault links.Fault, affected ...*fleet.Node) (end func()) {
	ends := []func(){r.fleet.Network.Inject(fault)}
	for _, node := range affected {
		ends = append(ends, r.fleet.BeginLinkFault(node))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// onAllLinks applies conditions to all links of a node, in both directions.
func (r *run) onAllLinks(node *fleet.Node, conditions links.Conditions) (end func()) {
	return r.injectLinks(links.Fault{Source: node.Name, Destination: "*", Forward: conditions, Reverse: conditions}, r.fleet.Nodes...)
}

func (r *run) partitionNode(fault Fault) func() { return r.onAllLinks(r.node(fault.Node), partitioned) }

func (r *run) partitionPair(fault Fault) func() {
	one, other := r.node(fault.Node), r.node(fault.Peer)
	if one == other {
		other = r.node(fault.Peer + 1)
	}
	return r.injectLinks(links.Fault{Source: one.Name, Destination: other.Name, Forward: partitioned, Reverse: partitioned}, one, other)
}

func (r *run) partitionOneWay(fault Fault) func() {
	node := r.node(fault.Node)
	return r.injectLinks(links.Fault{Source: node.Name, Destination: "*", Forward: partitioned}, r.fleet.Nodes...)
}

func (r *run) partitionCore(fault Fault) func() {
	node := r.coreNode(fault.Node)
	var ends []func()
	for _, other := range r.fleet.Core() {
		if other != node {
			ends = append(ends, r.injectLinks(
				links.Fault{Source: node.Name, Destination: other.Name, Forward: partitioned, Reverse: partitioned}, node, other))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (r *run) partitionFromBroker(fault Fault) func() {
	node, brokers := r.node(fault.Node), r.fleet.BrokerNames()
	broker := brokers[fault.Peer%len(brokers)]
	return r.injectLinks(links.Fault{Source: node.Name, Destination: broker, Forward: partitioned, Reverse: partitioned}, node)
}

func (r *run) delayLinks(fault Fault) func() { return r.onAllLinks(r.node(fault.Node), delayed) }

func (r *run) loseHalf(fault Fault) func() { return r.onAllLinks(r.node(fault.Node), lossy) }

func (r *run) slowLinks(fault Fault) func() { return r.onAllLinks(r.node(fault.Node), slow) }

// resetLinks resets all connections of a node once.
func (r *run) resetLinks(fault Fault) func() {
	var ends []func()
	for _, node := range r.fleet.Nodes { // what was sent to others over these connections is disturbed too
		ends = append(ends, r.fleet.BeginLinkFault(node))
	}
	r.fleet.Network.ResetConnections(r.node(fault.Node).Name, "*")
	for _, end := range ends {
		end()
	}
	return nil
}

func (r *run) freeze(fault Fault) func() {
	node := r.node(fault.Node)
	if !r.claims.claim(node) {
		return nil
	}
	if err := node.Freeze(); err != nil {
		r.fail("freeze %s: %v", node.Name, err)
	}
	return func() {
		if err := node.Thaw(); err != nil {
			r.fail("thaw %s: %v", node.Name, err)
		}
		r.releaseOrRestart(node)
	}
}

func (r *run) kill(fault Fault) func() {
	node := r.node(fault.Node)
	if !r.claims.claim(node) {
		return nil
	}
	node.Kill()
	return func() { r.restart(node) }
}

// restart starts a node that was killed, and gives it free for other faults.
func (r *run) restart(node *fleet.Node) {
	if err := node.Start(); err != nil {
		r.fail("start %s: %v", node.Name, err)
	}
	r.claims.release(node)
}

// killAndWipe loses a disk, if no other loss may still be under repair: one is tolerated at a time.
func (r *run) killAndWipe(fault Fault) func() {
	node := r.coreNode(fault.Node)
	if !r.coreComplete() || !r.claims.claim(node) {
		return nil
	}
	r.killAndLoseDisk(node)
	return func() { r.restart(node) }
}

// killAndFill starts a node on a disk that takes nothing, and then again on its disk.
func (r *run) killAndFill(fault Fault) func() {
	node := r.coreNode(fault.Node)
	if !r.claims.claim(node) {
		return nil
	}
	node.Kill()
	kept := node.DataDir() + ".kept"
	if err := os.Rename(node.DataDir(), kept); err != nil {
		r.fail("fill the disk of %s: %v", node.Name, err)
	}
	if err := os.WriteFile(node.DataDir(), nil, 0o600); err != nil { // no directory: nothing can be created in it
		r.fail("fill the disk of %s: %v", node.Name, err)
	}
	if err := node.Start(); err != nil {
		r.fail("start %s: %v", node.Name, err)
	}
	return func() {
		node.Kill()
		if err := os.Remove(node.DataDir()); err != nil {
			r.fail("make room on the disk of %s: %v", node.Name, err)
		}
		if err := os.Rename(kept, node.DataDir()); err != nil {
			r.fail("make room on the disk of %s: %v", node.Name, err)
		}
		r.restart(node)
	}
}

func (r *run) killCore(Fault) func() {
	var killed []*fleet.Node
	for _, node := range r.fleet.Core() {
		if r.claims.claim(node) {
			node.Kill()
			killed = append(killed, node)
		}
	}
	return func() {
		for _, node := range killed {
			r.restart(node)
		}
	}
}

// updateWeights names a version of the weights, without waiting for its acknowledgement.
func (r *run) updateWeights(Fault) func() {
	r.weightsVersion++
	version := r.weightsVersion
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		defer cancel()
		_, _ = r.fleet.Operator.PutVersion(ctx, fleet.ModelName, version) // without an answer nothing is promised
	})
	return nil
}

// replaceBroker starts a broker, and has another one of its service drain and leave, without waiting for that.
func (r *run) replaceBroker(fault Fault) func() {
	leaving := r.replaceLeaving(fault)
	if leaving == nil {
		return nil
	}
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		defer cancel()
		if _, err := r.fleet.Drain(ctx, leaving); err != nil {
			r.logf("drain of %s not acknowledged: %v", leaving.ID(), err)
			return
		}
		_ = leaving.Leave(ctx)
	})
	return nil
}

const (
	// minServingBrokers is how many brokers must serve for one to leave.
	minServingBrokers = 3
	// orderTimeout bounds a call of an operator or broker, with all its retries.
	orderTimeout = 15 * time.Second
)
