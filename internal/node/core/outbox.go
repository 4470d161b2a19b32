package core

import "kestrelspread/internal/node/nodepb"

// Outbox collects the outputs of a state machine in their order, until the method that handles an
// input returns them. The zero value is empty.
type Outbox struct{ outputs []Output }

// Add adds an output.
func (o *Outbox) Add(output Output) { o.outputs = append(o.outputs, output) }

// Send adds a message to a node's internal address.
func (o *Outbox) Send(destination string, message *nodepb.Envelope) {
	o.Add(Send{Destination: destination, Message: message})
}

// Take returns the outputs since the last call; nil where there are none.
func (o *Outbox) Take() []Output {
	taken := o.outputs
	o.outputs = nil
	return taken
}
