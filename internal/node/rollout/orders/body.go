package orders

import (
	"bytes"
	"errors"
	"sync/atomic"
)

// errNotAllowed says that the right to order had ended when the order was about to be written.
var errNotAllowed = errors.New("the lease for the order has ended")

// guardedBody is an order's body that asks, when the client library first reads it to write it out, whether it may still leave.
// The head of the request may have left by then; without the body, which names holder and fence, it is no order.
type guardedBody struct {
	reader *bytes.Reader
	may    func() bool
	passed atomic.Bool
}

func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.passed.Load() {
		if !b.may() {
			return 0, errNotAllowed
		}
		b.passed.Store(true)
	}
	return b.reader.Read(p)
}
