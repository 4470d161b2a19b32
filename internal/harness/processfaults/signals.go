package processfaults

import (
	"time"

	"kestrelspread/internal/harness/fleet"
)

// Planned work: signals to processes, alone and in series. No request may be lost by it.

const (
	// hangUps is how many SIGHUPs a series has, to each of its nodes.
	hangUps = 6
	// rollingOverlap: in a rolling restart so many nodes stop at the same time, if each takes all of its time.
	rollingOverlap = 2
)

// terminate stops a node by SIGTERM, and starts it once its process is gone. Clients use their open connections until then.
func (r *run) terminate(fault Fault) func() {
	r.actions.Go(func() { r.restartGracefully(r.node(fault.Node)) })
	return nil
}

// restartGracefully stops a node and starts it again; a node that another fault has reserved is left out.
func (r *run) restartGracefully(node *fleet.Node) {
	if !r.claims.claim(node) {
		return
	}
	r.logf("SIGTERM to %s", node.Name)
	if node.Terminate() {
		r.fail("%s needed SIGKILL after its grace", node.Name)
	}
	r.restart(node)
	r.logf("%s is started again", node.Name)
}

// rollingRestart stops all nodes one after another, so that some stops overlap.
func (r *run) rollingRestart(fault Fault) func() {
	nodes := r.fleet.Nodes
	gap := max(fault.Duration(), minRollingTime) * rollingOverlap / time.Duration(len(nodes))
	r.actions.Go(func() {
		for i := range nodes {
			node := nodes[(fault.Node+i)%len(nodes)]
			r.actions.Go(func() { r.restartGracefully(node) })
			if r.sleep(gap) != nil {
				return
			}
		}
	})
	return nil
}

// minRollingTime is the least time of a rolling restart.
const minRollingTime = 2 * time.Second

// hangUpSeries sends SIGHUPs to one node, or to all, spread over the duration of the fault.
func (r *run) hangUpSeries(fault Fault) func() {
	nodes := r.fleet.Nodes
	if fault.Peer%2 == 0 {
		nodes = []*fleet.Node{r.node(fault.Node)}
	}
	r.actions.Go(func() {
		for range hangUps {
			for _, node := range nodes {
				if !node.Running() {
					continue
				}
				if err := node.HangUp(); err != nil {
					r.logf("SIGHUP to %s: %v", node.Name, err)
				}
			}
			if r.sleep(fault.Duration()/hangUps) != nil {
				return
			}
		}
	})
	return nil
}
