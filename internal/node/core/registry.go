package core

import "kestrelspread/internal/node/nodepb"

// Outputs of the registry of model brokers.

// RegistryReply answers a heartbeat or a deregistration that came to this node's own API.
type RegistryReply struct {
	Request uint64
	// Accepted: reply with 2xx. Otherwise reply with 503, so that the broker calls another node.
	Accepted bool
	// HeartbeatURL is the control address (IP:port) for later heartbeats; empty: the reply names
	// none.
	HeartbeatURL string
}

// LoadingConfirmed reports the replication of a broker's loading mark to the other nodes: see
// registry.SetLoading.
type LoadingConfirmed struct {
	InstanceID   string
	FencingToken uint64 // fencing token of the mark; 0: the mark was removed
	// Everywhere: all reachable nodes have acknowledged the mark. Otherwise the time for that has
	// run out.
	Everywhere bool
}

// SaveLeaving asks for draining and gone brokers to be made durable beside those saved before. The
// shell reports the end by registry.LeavingSaved with the same token.
type SaveLeaving struct {
	Token     uint64
	Instances []*nodepb.Instance
}

// TableChanged reports that the registry has a new table of brokers.
type TableChanged struct{}

func (RegistryReply) isOutput()    {}
func (LoadingConfirmed) isOutput() {}
func (SaveLeaving) isOutput()      {}
func (TableChanged) isOutput()     {}
