package orders

import (
	"bytes"
	"errors"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNotAllowed says that the right to order had ended when the order was about to be written.
var errNotAllowed = errors.New("the lease for the order has ended")

// guardedBody is an order's body that asks, when the client library first reads it to write it out, whether it may still leave.
// The head of a request waits in the library's buffer until then.
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

// setUserTimeout has a connection fail whose peer is silently gone, also while data waits.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(callTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
