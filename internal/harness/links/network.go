package links

import (
	"math/rand/v2"
	"sync"
)

// Network is a set of links, and the faults that apply to them. It is safe for concurrent use; its mutex is taken before that of
// a link.
type Network struct {
	Base func(source, destination Endpoint) Conditions // of one direction, without faults; nil: the zero value

	mutex       sync.Mutex
	seed        uint64
	links       []*Link
	faults      map[int]Fault
	lastFaultID int
}

// New returns a network without links. The seed determines the random draws of the links.
func New(seed uint64) *Network { return &Network{seed: seed, faults: map[int]Fault{}} }

// Add adds a link from an endpoint to the address of another one. The source connects to the link's Address instead.
func (n *Network) Add(source, destination Endpoint, target string) (*Link, error) {
	return n.AddAt(source, destination, "127.0.0.1:0", target)
}

// AddAt adds a link that listens on an address of the caller's choice, an IPv4 address with a port; port 0: a free one.
func (n *Network) AddAt(source, destination Endpoint, listen, target string) (*Link, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := &Link{
		Source: source, Destination: destination, target: target, relays: map[*relay]bool{},
		random: rand.New(rand.NewPCG(n.seed, uint64(len(n.links)+1))),
	}
	l.changed = sync.NewCond(&l.mutex)
	if err := l.listen(listen); err != nil {
		return nil, err
	}
	n.links = append(n.links, l)
	n.updateLink(l)
	return l, nil
}

// remove closes a link that has no connections yet.
func (n *Network) remove(removed *Link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	removed.mutex.Lock()
	removed.closed = true
	removed.stopListening()
	removed.mutex.Unlock()
	for i, l := range n.links {
		if l == removed {
			n.links = append(n.links[:i], n.links[i+1:]...)
			break
		}
	}
}

// Inject applies a fault to the links that it names, until remove is called.
func (n *Network) Inject(fault Fault) (remove func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lastFaultID++
	id := n.lastFaultID
	n.faults[id] = fault
	n.updateLinks()
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.faults, id)
		n.updateLinks()
	}
}

// ResetConnections resets the open connections between some endpoints at both ends, and returns their number.
func (n *Network) ResetConnections(source, destination string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	count := 0
	for _, l := range n.links {
		if l.connects(source, destination) || l.connects(destination, source) {
			count += l.resetRelays(bothEnds)
		}
	}
	return count
}

// MakeHalfOpen resets the target's end of connections alone: the source does not notice. It returns their number.
func (n *Network) MakeHalfOpen(source, destination string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	count := 0
	for _, l := range n.links {
		if l.connects(source, destination) {
			count += l.resetRelays(targetEnd)
		}
	}
	return count
}

// updateLinks applies the present faults to all links. n.mutex must be held.
func (n *Network) updateLinks() {
	for _, l := range n.links {
		n.updateLink(l)
	}
}

// updateLink applies the present faults to a link. n.mutex must be held.
func (n *Network) updateLink(l *Link) {
	var forward, reverse Conditions
	if n.Base != nil {
		forward = n.Base(l.Source, l.Destination)
		reverse = n.Base(l.Destination, l.Source)
	}
	mode := ConnectAccepted
	for _, fault := range n.faults {
		switch {
		case l.connects(fault.Source, fault.Destination):
			forward, reverse = forward.combine(fault.Forward), reverse.combine(fault.Reverse)
			mode = max(mode, fault.Connect)
		case l.connects(fault.Destination, fault.Source):
			forward, reverse = forward.combine(fault.Reverse), reverse.combine(fault.Forward)
			mode = max(mode, fault.Connect)
		}
	}
	if forward.Partitioned || reverse.Partitioned {
		mode = ConnectUnanswered // a handshake needs both directions
	}
	l.setConditions(forward, reverse, mode)
}

// Stats are the connections so far, and the bytes in each direction, of the links from some endpoints to others.
func (n *Network) Stats(source, destination string) (connections int, forward, reverse int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.links {
		if l.connects(source, destination) {
			l.mutex.Lock()
			connections += l.connectionCount
			forward += l.byteCount[0]
			reverse += l.byteCount[1]
			l.mutex.Unlock()
		}
	}
	return connections, forward, reverse
}

// Close ends all links and their connections.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.links {
		l.mutex.Lock()
		l.closed = true
		l.stopListening()
		l.closeDatagrams()
		l.mutex.Unlock()
		l.resetRelays(bothEnds)
	}
}
