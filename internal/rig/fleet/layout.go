package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("fleet")
	// NotStarted is the type of errors of a fleet that could not be started.
	NotStarted = namespace.NewType("not_started")
	// TooLate is the type of errors of what was waited for and did not come in time.
	TooLate = namespace.NewType("too_late")
)

// ports are the same on every machine.
type ports struct{ front, readiness, control, internal int }

// layout gives machines their addresses: NETWORK.1 and up for nodes, NETWORK.101 and up for brokers.
type layout struct {
	network string // first three bytes of the addresses
	ports   ports
}

const (
	firstBrokerHost = 101
	lastHost        = 254
	layoutTries     = 20
)

// newLayout picks a network of 127.0.0.0/8 and ports that are free on all of its first hosts.
func newLayout(nodes int) (layout, error) {
	for range layoutTries {
		l := layout{network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))}
		if l.pickPorts() && l.isFree(nodes) {
			return l, nil
		}
	}
	return layout{}, NotStarted.New("no ports of 127.0.0.0/8 are free")
}

// pickPorts takes ports that the system finds free on the first host.
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

func (l *layout) isFree(nodes int) bool {
	for i := range nodes {
		for _, port := range []int{l.ports.front, l.ports.readiness, l.ports.control, l.ports.internal} {
			listener, err := net.Listen("tcp", at(l.node(i), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (l *layout) node(index int) string { return fmt.Sprintf("%s.%d", l.network, 1+index) }

// broker is the address of a broker or store; those that come later than the addresses last use them again.
func (l *layout) broker(index int) string {
	return fmt.Sprintf("%s.%d", l.network, firstBrokerHost+index%(lastHost-firstBrokerHost))
}

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
