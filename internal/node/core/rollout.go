package core

// Outputs of the singleton roles, which roll out model weights.

// SendOrder asks for an order to be sent to a model broker at most once, and only before
// ValidUntil. The shell reports the broker's answer by the machine's OrderDone with the same token.
// Source: PROTOCOL.md, "Requests".
type SendOrder struct {
	Token      uint64
	InstanceID string
	Address    string // IP:port of the broker
	Body       []byte // JSON
	ValidUntil Time   // end of the lease under which the order was decided
}

// FetchReport asks for a model broker's report. The shell reports the answer by ReportDone with the
// same token.
type FetchReport struct {
	Token      uint64
	InstanceID string
	Address    string // IP:port of the broker
}

// MarkLoading asks for a broker to be marked at all nodes as loading weights, so that no request is
// sent to it. The shell reports by MarkDone that all reachable nodes have acknowledged the mark.
type MarkLoading struct {
	InstanceID   string
	FencingToken uint64 // fencing token of the mark; 0 removes it
}

// VersionLoaded reports that a broker now has a version of the weights of a model.
type VersionLoaded struct {
	InstanceID string
	Model      string
	Version    uint64
}

func (SendOrder) isOutput()     {}
func (FetchReport) isOutput()   {}
func (MarkLoading) isOutput()   {}
func (VersionLoaded) isOutput() {}
