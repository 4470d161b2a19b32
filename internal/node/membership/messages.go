package membership

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

func probeMessage(probe *nodepb.Probe) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Probe{Probe: probe}}
}

func probeAck(sequence uint64, updates []*nodepb.Member) *nodepb.Envelope {
	ack := &nodepb.ProbeAck{Sequence: sequence, Updates: updates}
	return &nodepb.Envelope{Body: &nodepb.Envelope_ProbeAck{ProbeAck: ack}}
}

func probeRequest(request *nodepb.ProbeRequest) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_ProbeRequest{ProbeRequest: request}}
}

func memberSync(replyWanted bool, members []*nodepb.Member) *nodepb.Envelope {
	sync := &nodepb.MemberSync{ReplyWanted: replyWanted, Members: members}
	return &nodepb.Envelope{Body: &nodepb.Envelope_MemberSync{MemberSync: sync}}
}

func (m *Membership) send(address string, message *nodepb.Envelope) {
	if address == "" {
		return
	}
	m.outputs = append(m.outputs, core.Send{Destination: address, Message: message})
}

func (m *Membership) log(message string, fields ...any) {
	m.outputs = append(m.outputs, core.Log{Message: message, Fields: fields})
}
