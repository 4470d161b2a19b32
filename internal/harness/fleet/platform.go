package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Source of this file: PROTOCOL.md, "Ingress".

// readinessInterval is the time between two readiness checks of a node.
const readinessInterval = time.Second

// maxMisses is the number of failed checks in a row after which a node receives no new connections.
const maxMisses = 2

// platform is the platform's load balancer: it assigns new connections of clients to nodes that are ready.
type platform struct {
	nodes  []*Node
	client *http.Client

	mutex  sync.Mutex
	misses map[string]int // failed checks in a row, by node; initially maxMisses
}

func newPlatform(nodes []*Node) *platform {
	p := &platform{nodes: nodes, misses: map[string]int{}, client: &http.Client{Timeout: readinessInterval}}
	for _, node := range nodes {
		p.misses[node.Name] = maxMisses
	}
	return p
}

// run checks the nodes until ctx ends.
func (p *platform) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		for _, node := range p.nodes {
			go p.check(ctx, node)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// check checks a node once, and counts a failure.
func (p *platform) check(ctx context.Context, node *Node) {
	ready := p.isReady(ctx, node)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if ready {
		p.misses[node.Name] = 0
	} else {
		p.misses[node.Name]++
	}
}

// isReady reports whether the readiness check succeeds.
func (p *platform) isReady(ctx context.Context, node *Node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Readiness()+"/kestrelspread/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// receivesTraffic reports whether a node receives new connections by its own checks.
func (p *platform) receivesTraffic(node *Node) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.misses[node.Name] < maxMisses
}

// pickNode assigns a node to a new connection of a client: of its zone first; retries reach other nodes.
func (p *platform) pickNode(zone string, client, attempt int) *Node {
	var candidates []*Node
	start := max(slices.Index(Zones, zone), 0)
	for i := range Zones {
		receiving := p.receivingNodes(Zones[(start+i)%len(Zones)])
		for j := range receiving {
			candidates = append(candidates, receiving[(client+j)%len(receiving)])
		}
	}
	if len(candidates) == 0 {
		candidates = p.nodes
	}
	return candidates[attempt%len(candidates)]
}

// receivingNodes lists the nodes of a zone that receive new connections: those that pass their checks, or all if fewer than half do;
// none if none does.
func (p *platform) receivingNodes(zone string) []*Node {
	all := slices.DeleteFunc(slices.Clone(p.nodes), func(n *Node) bool { return n.Zone != zone })
	receiving := slices.DeleteFunc(slices.Clone(all), func(n *Node) bool { return !p.receivesTraffic(n) })
	if len(receiving) > 0 && 2*len(receiving) < len(all) {
		return all
	}
	return receiving
}
