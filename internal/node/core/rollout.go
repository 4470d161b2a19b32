package core

import "kestrelspread/internal/node/nodepb"

// Outputs of the state machines of singleton duties.

// SendOrder asks for an order to be sent to a model broker, at most once and only while `ValidUntil` has not passed. The
// answer comes back by OrderDone of the machine with the same token. Source: PROTOCOL.md, "Requests".
type SendOrder struct {
	Token      uint64
	InstanceID string
	Address    string // IP:port of the broker
	Body       []byte // JSON
	ValidUntil Time   // end of the lease under which the order was decided
}

// FetchReport asks for a model broker's report. It comes back by ReportDone with the same token.
type FetchReport struct {
	Token      uint64
	InstanceID string
	Address    string // IP:port of the broker
}

// MarkLoading asks for a broker to be marked at all nodes as being loaded under a fence, so that no request is sent to
// it; fence 0 takes the mark away. MarkDone reports that all nodes in touch have confirmed.
type MarkLoading struct {
	InstanceID string
	Fence      uint64
}

// VersionLoaded tells that a broker now has a version of the weights of a model.
type VersionLoaded struct {
	InstanceID string
	Model      string
	Version    uint64
}

// SubmitCommand asks for a change of the control state.
type SubmitCommand struct{ Command *nodepb.Command }

func (SendOrder) isOutput()     {}
func (FetchReport) isOutput()   {}
func (MarkLoading) isOutput()   {}
func (VersionLoaded) isOutput() {}
func (SubmitCommand) isOutput() {}
