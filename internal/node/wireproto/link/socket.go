package link

import (
	"net"
	"syscall"
	"time"

	"kestrelspread/internal/node/sockopt"
)

// Probes of the kernel: an idle peer that is gone is detected within KeepAliveIdle and
// keepAliveCount*keepAliveInterval.
const (
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// keepAlive returns the probes that detect a dead peer while nothing is sent to it.
func keepAlive(options Options) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     options.KeepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// dialer returns the dialer of connections to peers. Package net sets TCP_NODELAY.
func dialer(options Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         options.DialTimeout,
		KeepAliveConfig: keepAlive(options),
		Control: func(_, _ string, connection syscall.RawConn) error {
			return sockopt.SetUserTimeout(connection, options.SendTimeout)
		},
	}
}

// setAcceptedOptions sets the options on an accepted connection that dialer sets on a dialed one.
func setAcceptedOptions(connection net.Conn, options Options) error {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	return sockopt.SetUserTimeout(raw, options.SendTimeout)
}
