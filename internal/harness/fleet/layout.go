package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
)

var (
	// ErrNotStarted says that a part of the fleet could not be started.
	ErrNotStarted = errors.New("fleet: not started")
	// ErrTimeout says that a condition was not reached in time.
	ErrTimeout = errors.New("fleet: timeout")
)

// ports are the same on every machine.
type ports struct{ front, readiness, control, internal int }

// layout assigns the machines their addresses: NETWORK.1 and up for nodes, NETWORK.101 and up for brokers.
type layout struct {
	network string // first three bytes of the addresses
	ports   ports
}

const (
	firstBrokerHost   = 101
	lastHost          = 254
	maxLayoutAttempts = 20
)

// newLayout chooses a network of 127.0.0.0/8 and ports that are free on all of its first hosts.
func newLayout(nodes int) (layout, error) {
	for range maxLayoutAttempts {
		l := layout{network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256))}
		if l.pickPorts() && l.isFree(nodes) {
			return l, nil
		}
	}
	return layout{}, fmt.Errorf("%w: no ports of 127.0.0.0/8 are free", ErrNotStarted)
}

// pickPorts chooses ports that the system finds free on the first host.
func (l *layout) pickPorts() bool {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for _, port := range []*int{&l.ports.front, &l.ports.readiness, &l.ports.control, &l.ports.internal} {
		listener, err := net.Listen("tcp", l.node(0)+":0")
		if err != nil {
			return false
		}
		listeners = append(listeners, listener)
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return true
}

// isFree reports whether the ports are free on all nodes.
func (l *layout) isFree(nodes int) bool {
	for i := range nodes {
		for _, port := range []int{l.ports.front, l.ports.readiness, l.ports.control, l.ports.internal} {
			listener, err := net.Listen("tcp", hostPort(l.node(i), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// node is the address of a node.
func (l *layout) node(index int) string { return fmt.Sprintf("%s.%d", l.network, 1+index) }

// broker is the address of a broker or store; addresses are reused once all were assigned.
func (l *layout) broker(index int) string {
	return fmt.Sprintf("%s.%d", l.network, firstBrokerHost+index%(lastHost-firstBrokerHost))
}

// Relayed fleets have one more network for each node, in which relays stand at the addresses of the machines: node i reaches
// NETWORK.h as 127.(a+relayNetworkOffset).(b+i).h.
const relayNetworkOffset = 64

// relayNetwork is the first three bytes of the addresses under which a node reaches the machines.
func (l *layout) relayNetwork(index int) string {
	var second, third int
	if _, err := fmt.Sscanf(l.network, "127.%d.%d", &second, &third); err != nil {
		panic(err) // newLayout has made it in this form
	}
	return fmt.Sprintf("127.%d.%d", second+relayNetworkOffset, (third+index)%256)
}

// networkMap is the rule of the node's --netmap.
func (l *layout) networkMap(index int) string {
	return fmt.Sprintf("%s.0/24=%s.0", l.network, l.relayNetwork(index))
}

// relayAddress is the address under which a node reaches another machine's.
func (l *layout) relayAddress(index int, address string) string {
	return l.relayNetwork(index) + strings.TrimPrefix(address, l.network)
}

// hostPort joins an address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
