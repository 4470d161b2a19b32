package coretest

import "kestrelspread/internal/node/nodepb"

// delivery is a message in flight.
type delivery struct {
	from        string // address
	destination string // address
	envelope    *nodepb.Envelope
}
