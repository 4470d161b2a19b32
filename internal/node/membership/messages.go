package membership

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// probeMessage wraps a probe (SWIM: ping).
func probeMessage(probe *nodepb.Probe) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Probe{Probe: probe}}
}

// probeAck makes the ack of the probe of that sequence number.
func probeAck(sequence uint64, updates []*nodepb.Member) *nodepb.Envelope {
	ack := &nodepb.ProbeAck{Sequence: sequence, Updates: updates}
	return &nodepb.Envelope{Body: &nodepb.Envelope_ProbeAck{ProbeAck: ack}}
}

// probeRequest wraps a request to probe another node (SWIM: ping-req).
func probeRequest(request *nodepb.ProbeRequest) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_ProbeRequest{ProbeRequest: request}}
}

// memberSync makes a message with members; replyWanted asks for the receiver's complete list.
func memberSync(replyWanted bool, members []*nodepb.Member) *nodepb.Envelope {
	sync := &nodepb.MemberSync{ReplyWanted: replyWanted, Members: members}
	return &nodepb.Envelope{Body: &nodepb.Envelope_MemberSync{MemberSync: sync}}
}

// send asks for a message to be sent; an empty address is that of nobody.
func (m *Membership) send(address string, message *nodepb.Envelope) {
	if address == "" {
		return
	}
	m.outputs = append(m.outputs, core.Send{Destination: address, Message: message})
}

// log asks for a log line; fields are key-value pairs.
func (m *Membership) log(message string, fields ...any) {
	m.outputs = append(m.outputs, core.Log{Message: message, Fields: fields})
}
