package registry

import "kestrelspread/internal/node/core"

// State is the lifecycle state of a broker. Its values equal those of nodepb.InstanceState.
type State uint8

// The states of a broker. A state only ever changes to a later one.
const (
	// Ready brokers accept new requests.
	Ready State = iota
	// Draining brokers finish the requests that they have and accept no others.
	Draining
	// Gone brokers have deregistered, or another incarnation has taken their address.
	Gone
)

// Instance is one incarnation of a broker, as the data plane sees it. Immutable.
type Instance struct {
	ID       string // of this incarnation; a restart gets another one
	Service  string
	Address  string // IP:port for requests
	Zone     string
	Slots    int // requests that it runs at the same time
	State    State
	Versions map[string]uint64 // version of the weights by model, as last reported
	// Loading: new weights are being loaded; the broker would reject requests that have not begun.
	Loading bool
	// Unresponsive: no heartbeat arrived within the heartbeat timeout, so that other brokers are
	// to be preferred.
	Unresponsive bool
	// WarmingUpUntil is the end of its slow start, on this node's clock.
	WarmingUpUntil core.Time
}

// Usable reports whether new requests may be sent to the broker.
func (i *Instance) Usable() bool { return i.State == Ready && !i.Loading }

// Table is an immutable snapshot of all known brokers that are not gone.
type Table struct {
	Revision  uint64                 // rises with each new table of this node
	ByService map[string][]*Instance // ordered by id
	ByID      map[string]*Instance
}
