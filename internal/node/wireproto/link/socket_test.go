package link

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// DEPLOY.md, "Network": a connection behind a cut hangs unless TCP_USER_TIMEOUT or keep-alive probes are set.
func TestSocketOptionsAreSetOnBothSides(t *testing.T) {
	options := Options{SendTimeout: 1700 * time.Millisecond, KeepAliveIdle: 3 * time.Second}.withDefaults()
	configuration := net.ListenConfig{KeepAliveConfig: keepAlive(options)}
	listener, err := configuration.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := dialer(options).Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	assert.NilError(t, setAcceptedOptions(accepted, options))

	for name, connection := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 1700)
			assert.Equal(t, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_NODELAY), 1)
			assert.Equal(t, socketOption(t, connection, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
			assert.Equal(t, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 3)
			assert.Equal(t, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), 1)
			assert.Equal(t, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), 2)
		})
	}
}

func socketOption(t *testing.T, connection net.Conn, level, option int) int {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var value int
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		value, failed = unix.GetsockoptInt(int(descriptor), level, option)
	})
	assert.NilError(t, err)
	assert.NilError(t, failed)
	return value
}
