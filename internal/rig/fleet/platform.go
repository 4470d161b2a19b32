package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Source of this file: PROTOCOL.md, "Ingress".

// checkInterval lies between two readiness checks of a node.
const checkInterval = time.Second

// missesOut is after how many missed checks in a row a node receives no new connections.
const missesOut = 2

// platform hands clients' new connections to nodes that say they are ready.
type platform struct {
	nodes  []*Node
	client *http.Client

	mutex  sync.Mutex
	misses map[string]int // by node; a node that was never ready has missesOut
}

func newPlatform(nodes []*Node) *platform {
	p := &platform{nodes: nodes, misses: map[string]int{}, client: &http.Client{Timeout: checkInterval}}
	for _, node := range nodes {
		p.misses[node.Name] = missesOut
	}
	return p
}

// run checks the nodes until ctx ends.
func (p *platform) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(checkInterval)
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

func (p *platform) isReady(ctx context.Context, node *Node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.readiness()+"/kestrelspread/readyz", nil)
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

// isIn reports whether a node receives new connections by its own checks.
func (p *platform) isIn(node *Node) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.misses[node.Name] < missesOut
}

// pick gives the node for a new connection of a client; retries reach other nodes.
func (p *platform) pick(zone string, client, try int) *Node {
	var candidates []*Node
	start := max(slices.Index(Zones, zone), 0)
	for i := range Zones {
		receiving := p.receiving(Zones[(start+i)%len(Zones)])
		for j := range receiving {
			candidates = append(candidates, receiving[(client+j)%len(receiving)])
		}
	}
	if len(candidates) == 0 {
		candidates = p.nodes
	}
	return candidates[try%len(candidates)]
}

// receiving lists the nodes of a zone that receive new connections: those that are in, or all where fewer than half are;
// none where none is in.
func (p *platform) receiving(zone string) []*Node {
	all := slices.DeleteFunc(slices.Clone(p.nodes), func(n *Node) bool { return n.Zone != zone })
	in := slices.DeleteFunc(slices.Clone(all), func(n *Node) bool { return !p.isIn(n) })
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}
