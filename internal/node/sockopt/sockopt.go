// Package sockopt sets TCP options of sockets that package net has no method for.
//
// It is for connections between nodes and to brokers, where a partition gives no error by itself
// (DEPLOY.md, "Network"). It opens and closes no sockets.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before the kernel
// closes the connection. The time-out has the resolution of a millisecond. The error is the system's.
func SetUserTimeout(connection syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := connection.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
