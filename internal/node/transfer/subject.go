package transfer

import (
	"fmt"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// Subject says which transfers replace each other. Of the messages to one node with the same slot,
// only one is under way at a time: another one with the same version is dropped, one with another
// version replaces it.
type Subject struct {
	Slot    string
	Version string
	// Urgent messages, on which the acknowledgement of a change depends, go before others.
	Urgent bool
}

// SubjectOf returns the subject of a message. Each command and each reply has a slot of its own, as
// several may be under way between two nodes. An entry of the chain replaces an earlier one, and a
// snapshot for catch-up replaces one of another epoch.
func SubjectOf(message *nodepb.Envelope) Subject {
	kind := wireproto.KindOf(message).String()
	switch body := message.GetBody().(type) {
	case *nodepb.Envelope_Submit:
		return Subject{Slot: fmt.Sprintf("%s %d", kind, body.Submit.GetRequest()), Urgent: true}
	case *nodepb.Envelope_SubmitReply:
		return Subject{Slot: fmt.Sprintf("%s %d", kind, body.SubmitReply.GetRequest())}
	case *nodepb.Envelope_Append:
		entry := body.Append.GetEntry()
		version := fmt.Sprintf("%d %d %d", body.Append.GetEpoch(), entry.GetIndex(), entry.GetEpoch())
		return Subject{Slot: kind, Version: version, Urgent: true}
	case *nodepb.Envelope_CatchUp:
		return Subject{Slot: kind, Version: fmt.Sprint(body.CatchUp.GetEpoch()), Urgent: true}
	default:
		return Subject{Slot: kind}
	}
}
