package fleet

import (
	"fmt"
	"sync"
	"time"

	"kestrelspread/internal/harness/links"
)

// storeName is the endpoint of the store.
const storeName = "store"

// brokerName is the endpoint of a broker, by the order in which brokers are started.
func brokerName(index int) string { return fmt.Sprintf("broker-%d", index+1) }

// BrokerNames are the endpoints of the brokers that were started.
func (f *Fleet) BrokerNames() []string {
	f.startingBroker.Lock()
	defer f.startingBroker.Unlock()
	var names []string
	for i := range f.startedBrokers {
		names = append(names, brokerName(i))
	}
	return names
}

// endpoint is the node as an end of links.
func (n *Node) endpoint() links.Endpoint { return links.Endpoint{Name: n.Name, Site: n.Zone} }

// relayNodes adds a link from each node to each other one.
func (f *Fleet) relayNodes() error {
	f.Network = links.New(f.options.Seed)
	for _, node := range f.Nodes {
		if err := f.relayToAll(node.endpoint(), hostPort(node.ipAddress, f.layout.ports.internal)); err != nil {
			return err
		}
	}
	return nil
}

// relayToAll adds a link from each node to an address of the destination, at the address under which the node reaches that.
func (f *Fleet) relayToAll(destination links.Endpoint, address string) error {
	for i, node := range f.Nodes {
		if node.Name == destination.Name {
			continue
		}
		if _, err := f.Network.AddAt(node.endpoint(), destination, f.layout.relayAddress(i, address), address); err != nil {
			return fmt.Errorf("%w: relay from %s to %s: %w", ErrNotStarted, node.Name, destination.Name, err)
		}
	}
	return nil
}

// relayControl adds a link from a broker to the control address of each node, and returns the links' addresses by those.
func (f *Fleet) relayControl(broker, zone string) (map[string]string, error) {
	relayed := map[string]string{}
	for _, node := range f.Nodes {
		link, err := f.Network.Add(links.Endpoint{Name: broker, Site: zone}, node.endpoint(), node.Control())
		if err != nil {
			return nil, fmt.Errorf("%w: relay from %s to %s: %w", ErrNotStarted, broker, node.Name, err)
		}
		relayed[node.Control()] = link.Address()
	}
	return relayed, nil
}

// PartitionFromNodes cuts a node from all others, but not from the brokers, and records that. The others stay in touch unless the node has
// a disk: they keep their paths to the core (RULES.md, "In touch"). The fleet must be relayed.
func (f *Fleet) PartitionFromNodes(node *Node) (heal func()) {
	partitioned := links.Conditions{Partitioned: true}
	ends := []func(){f.BeginLinkFault(node)}
	for _, other := range f.Nodes {
		if other == node {
			continue
		}
		fault := links.Fault{Source: node.Name, Destination: other.Name, Forward: partitioned, Reverse: partitioned}
		ends = append(ends, f.Network.Inject(fault))
		if node.HasDisk {
			ends = append(ends, f.BeginLinkFault(other))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// LinkFault is a fault of the links of a node.
type LinkFault struct {
	Node      string
	StartedAt time.Time
	EndedAt   time.Time // zero: it lasts
}

// linkFaults records the faults of links.
type linkFaults struct {
	mutex sync.Mutex
	list  []*LinkFault
}

// BeginLinkFault records that a fault of the node's links starts now. The fault itself is injected by the caller, who ends the
// record once it is removed.
func (f *Fleet) BeginLinkFault(node *Node) (end func()) {
	fault := &LinkFault{Node: node.Name, StartedAt: time.Now()}
	f.linkFaults.mutex.Lock()
	defer f.linkFaults.mutex.Unlock()
	f.linkFaults.list = append(f.linkFaults.list, fault)
	return func() {
		f.linkFaults.mutex.Lock()
		defer f.linkFaults.mutex.Unlock()
		fault.EndedAt = time.Now()
	}
}

// all returns a copy of all faults so far.
func (l *linkFaults) all() []LinkFault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var faults []LinkFault
	for _, fault := range l.list {
		faults = append(faults, *fault)
	}
	return faults
}

// linkFailed reports whether a fault of its node's links lasted during the attempt, or up to the bound on contact before it:
// what was disturbed then may still be waiting for its connections.
func (e *evidence) linkFailed(r *Attempt) bool {
	for _, fault := range e.linkFaults {
		ended := !fault.EndedAt.IsZero() && fault.EndedAt.Add(e.bounds.Contact).Before(r.FirstAttemptAt)
		if fault.Node == r.Node && !ended && !fault.StartedAt.After(r.EndedAt) {
			return true
		}
	}
	return false
}
