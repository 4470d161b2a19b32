package coretest

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// delivery is a message in flight.
type delivery struct {
	arrivesAt   time.Duration // true time
	sequence    uint64        // order of sending, which breaks ties
	from        string        // address
	destination string        // address
	envelope    *nodepb.Envelope
}

// deliveries is a heap.Interface of the messages in flight, the first to arrive on top.
type deliveries []*delivery

// Len is the number of messages in flight.
func (d deliveries) Len() int { return len(d) }

// Swap exchanges two messages.
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Less orders messages by arrival, then by sending.
func (d deliveries) Less(i, j int) bool {
	if d[i].arrivesAt != d[j].arrivesAt {
		return d[i].arrivesAt < d[j].arrivesAt
	}
	return d[i].sequence < d[j].sequence
}

// Push appends a message.
func (d *deliveries) Push(x any) { *d = append(*d, x.(*delivery)) }

// Pop removes the last message.
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
