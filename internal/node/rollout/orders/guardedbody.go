package orders

import (
	"bytes"
	"errors"
	"sync/atomic"
)

// errLeaseEnded says that the lease had ended when the order was about to be written.
var errLeaseEnded = errors.New("the lease for the order has ended")

// guardedBody is the body of an order. It asks whether the order may still leave when the HTTP
// client first reads it to write it out. The header of the request may have left by then; without
// the body, which names holder and fence, it is no order.
type guardedBody struct {
	reader  *bytes.Reader
	allowed func() bool
	checked atomic.Bool // allowed has reported true
}

// Read implements io.Reader. Its first call fails with errLeaseEnded where the order may not leave
// any more; no byte of the body was read then.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.checked.Load() {
		if !b.allowed() {
			return 0, errLeaseEnded
		}
		b.checked.Store(true)
	}
	return b.reader.Read(p)
}
