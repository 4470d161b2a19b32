package orders

import (
	"bytes"
	"errors"
	"sync/atomic"
)

// errLeaseEnded says that the right to order had ended when the order was about to be written.
var errLeaseEnded = errors.New("the lease for the order has ended")

// guardedBody is an order's body that asks, when the client library first reads it to write it out, whether it may still leave.
// The head of the request may have left by then; without the body, which names holder and fence, it is no order.
type guardedBody struct {
	reader  *bytes.Reader
	allowed func() bool
	checked atomic.Bool
}

func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.checked.Load() {
		if !b.allowed() {
			return 0, errLeaseEnded
		}
		b.checked.Store(true)
	}
	return b.reader.Read(p)
}
