package transfer

import (
	"fmt"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// SubjectOf tells what a message is about. Commands and their answers have a slot each, as several may be under way between
// two nodes. An entry of the chain gives way to another one, and a state to one of a later epoch.
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
