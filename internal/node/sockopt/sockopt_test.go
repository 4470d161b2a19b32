package sockopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestSetUserTimeoutIsInMilliseconds reads the option back; a closed socket is an error.
func TestSetUserTimeoutIsInMilliseconds(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	connection, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	raw, err := connection.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)

	assert.NilError(t, SetUserTimeout(raw, 1500*time.Millisecond))
	var value int
	var optionErr error
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		value, optionErr = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, optionErr)
	assert.Equal(t, value, 1500)

	assert.NilError(t, connection.Close())
	assert.ErrorContains(t, SetUserTimeout(raw, time.Second), "closed")
}
