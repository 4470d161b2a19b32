package fleet

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// KeptClients are clients with open connections to one node, which they use whatever becomes of its process. Their requests have
// prompts whose shared parts those of the load have too.
type KeptClients struct {
	clients []*client
	key     string
	random  *rand.Rand
}

// OpenKept opens connections to a node, and has each carry a request with an API key.
func (l *Load) OpenKept(node *Node, key string, count int, seed uint64) (*KeptClients, error) {
	k := &KeptClients{key: key, random: rand.New(rand.NewPCG(seed, keptStream))}
	for number := range count {
		conn, err := connect(node)
		if err != nil {
			k.Close()
			return nil, fmt.Errorf("open connections to %s: %w", node.Name, err)
		}
		conn.idleSince = time.Now()
		k.clients = append(k.clients, &client{
			load: l, number: number, zone: node.Zone, keepsConnection: true, keptConnection: conn, random: rand.New(rand.NewPCG(seed, uint64(number))),
		})
	}
	k.SendAll()
	return k, nil
}

// keptStream tells the random source of kept clients from those of other clients.
const keptStream = 13

// SendAll sends a request on each connection that is still open, and returns once all have ended: how many were sent, and how many
// of these were answered.
func (k *KeptClients) SendAll() (sent, answered int) {
	var sending sync.WaitGroup
	var counted atomic.Int64
	for _, c := range k.clients {
		p := routeRequest(prefixDraft)
		p.key = k.key
		p.request.uri = prefixDraft + newID()
		p.request.headers = promptHeaders(k.random)
		if c.keptConnection == nil {
			continue
		}
		sent++
		sending.Go(func() {
			if c.sendOnce(p) == Answered {
				counted.Add(1)
			}
		})
	}
	sending.Wait()
	return sent, int(counted.Load())
}

// Close closes the connections.
func (k *KeptClients) Close() {
	for _, c := range k.clients {
		c.closeKept()
	}
}
