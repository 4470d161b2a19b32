package link

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// keepAlive returns what finds out about a peer that is gone without a word while nothing is sent to it.
func keepAlive(options Options) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     options.KeepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// setUserTimeout bounds how long sent bytes stay without acknowledgement: a link that is cut says nothing
// (DEPLOY.md, "Network").
func setUserTimeout(connection syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := connection.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// dialer returns what dials peers. TCP_NODELAY is set by package net.
func dialer(options Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         options.DialTimeout,
		KeepAliveConfig: keepAlive(options),
		Control: func(_, _ string, connection syscall.RawConn) error {
			return setUserTimeout(connection, options.SendTimeout)
		},
	}
}

// setAcceptedOptions does for an accepted connection what dialer does for a dialed one.
func setAcceptedOptions(connection net.Conn, options Options) error {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, options.SendTimeout)
}
