package core

import "kestrelspread/internal/node/nodepb"

// RegistryReply answers a heartbeat or a deregistration that came to this node's own API.
type RegistryReply struct {
	Request uint64
	// Accepted: answer 2xx. Otherwise answer 503, so that the broker calls another node.
	Accepted bool
	// HeartbeatURL is the control address (IP:port) for later heartbeats; empty: none is named.
	HeartbeatURL string
}

// LoadingConfirmed reports that the loading mark of a broker was told to the nodes: see registry.SetLoading.
type LoadingConfirmed struct {
	InstanceID string
	Fence      uint64 // the mark as set; 0: it was taken away
	// Everywhere: all nodes in touch have confirmed it. Otherwise the time for that has run out.
	Everywhere bool
}

// TableChanged reports that the registry holds a new table of brokers.
type TableChanged struct{}

// StateChanged reports that the distributed control state has a higher index than before.
type StateChanged struct{}

// MembersChanged tells the nodes that are alive or suspected, this one included.
type MembersChanged struct{ Members []*nodepb.Member }

// CoreMemberLost tells that a machine of the core was lost, at that time at the latest.
type CoreMemberLost struct{ LostBy Time }

// RequestBarrier asks the tail's shell for a barrier through the chain, whose end it reports by
// distribution.LocalConfirmed.
type RequestBarrier struct{}

func (RegistryReply) isOutput()    {}
func (LoadingConfirmed) isOutput() {}
func (TableChanged) isOutput()     {}
func (StateChanged) isOutput()     {}
func (RequestBarrier) isOutput()   {}
func (MembersChanged) isOutput()   {}
func (CoreMemberLost) isOutput()   {}
