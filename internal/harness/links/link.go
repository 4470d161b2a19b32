package links

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Link is a relay of connections, and of datagrams if it was added with them, from one endpoint to another.
type Link struct {
	Source, Destination Endpoint
	target              string // address that is relayed to
	address             string // that the link listens on

	mutex             sync.Mutex
	changed           *sync.Cond    // conditions, the connect mode, the listening socket or closed have changed
	conditions        [2]Conditions // by direction: 0 forward, 1 reverse
	connectMode       ConnectMode
	listenFD          int   // -1: it does not listen
	queueFillers      []int // descriptors of connections that fill the accept queue
	relays            map[*relay]bool
	random            *rand.Rand
	closed            bool
	connectionCount   int      // so far
	byteCount         [2]int64 // so far, by direction
	datagrams         *net.UDPConn
	datagramsInFlight int
	lastPartitionedAt time.Time // when a partition last applied as the conditions changed
}

// Address is the address that the source connects to.
func (l *Link) Address() string { return l.address }

// connects reports whether the link leads from an endpoint of one pattern to one of the other.
func (l *Link) connects(source, destination string) bool {
	return l.Source.matches(source) && l.Destination.matches(destination)
}

// PartitionedSince reports whether a partition blocked bytes at any time since.
func (l *Link) PartitionedSince(since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.isPartitioned() || l.lastPartitionedAt.After(since)
}

// isPartitioned reports whether either direction is partitioned. l.mutex must be held.
func (l *Link) isPartitioned() bool {
	return l.conditions[0].Partitioned || l.conditions[1].Partitioned
}

const (
	acceptBacklog      = 1024
	acceptPollInterval = 20 * time.Millisecond // after which accept notices a change of the connect mode
)

// listen opens the listening socket. It is one of its own, not of package net, as its accept queue has to shrink and grow.
func (l *Link) listen(address string) error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		unix.Close(fd)
		return err
	}
	socketAddress := &unix.SockaddrInet4{Port: resolved.Port}
	copy(socketAddress.Addr[:], resolved.IP.To4())
	err = errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.Bind(fd, socketAddress),
		unix.Listen(fd, acceptBacklog),
	)
	if err != nil {
		unix.Close(fd)
		return fmt.Errorf("listen for a link at %s: %w", address, err)
	}
	bound, _ := unix.Getsockname(fd)
	l.listenFD = fd
	l.address = fmt.Sprintf("%s:%d", resolved.IP, bound.(*unix.SockaddrInet4).Port)
	go l.acceptAll(fd)
	return nil
}

// acceptAll accepts connections of one listening socket until that is replaced or the link is closed.
func (l *Link) acceptAll(fd int) {
	defer unix.Close(fd)
	for l.awaitAccepting(fd) {
		set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		ready, err := unix.Poll(set, int(acceptPollInterval/time.Millisecond))
		if err != nil && err != unix.EINTR {
			return
		}
		if ready <= 0 || err != nil {
			continue
		}
		accepted, current := l.acceptOne(fd)
		if !current {
			return
		}
		if accepted != nil {
			go l.serve(accepted)
		}
	}
}

// awaitAccepting waits while connections are to be left unanswered. false: the socket is no longer the link's.
func (l *Link) awaitAccepting(fd int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.connectMode == ConnectUnanswered && l.isListeningOn(fd) {
		l.changed.Wait()
	}
	return l.isListeningOn(fd)
}

// isListeningOn reports whether a socket is the present one. l.mutex must be held.
func (l *Link) isListeningOn(fd int) bool { return l.listenFD == fd && !l.closed }

// acceptOne accepts a connection, if that is allowed by now. current: the socket is still the link's.
func (l *Link) acceptOne(fd int) (accepted net.Conn, current bool) {
	l.mutex.Lock()
	if !l.isListeningOn(fd) {
		l.mutex.Unlock()
		return nil, false
	}
	if l.connectMode == ConnectUnanswered {
		l.mutex.Unlock()
		return nil, true
	}
	acceptedFD, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC)
	l.mutex.Unlock()
	if err != nil {
		return nil, true
	}
	accepted, err = newConn(acceptedFD)
	if err != nil {
		return nil, true
	}
	return accepted, true
}

// newConn makes a connection of a descriptor, which it closes.
func newConn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "link")
	defer f.Close()
	return net.FileConn(f)
}

// stopListening closes the listening socket. l.mutex must be held.
func (l *Link) stopListening() {
	if l.listenFD >= 0 {
		unix.Shutdown(l.listenFD, unix.SHUT_RDWR) // refuses at once and ends a poll; acceptAll closes the descriptor
		l.listenFD = -1
	}
	l.closeQueueFillers()
	l.changed.Broadcast()
}

// setConditions applies conditions from now on.
func (l *Link) setConditions(forward, reverse Conditions, mode ConnectMode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isPartitioned() {
		l.lastPartitionedAt = time.Now()
	}
	l.conditions = [2]Conditions{forward, reverse}
	if mode != l.connectMode && !l.closed {
		l.setConnectMode(mode)
	}
	l.changed.Broadcast()
}

// setConnectMode changes the connect mode. l.mutex must be held.
func (l *Link) setConnectMode(mode ConnectMode) {
	previous := l.connectMode
	l.connectMode = mode
	if previous == ConnectRefused {
		if err := l.listen(l.address); err != nil {
			panic(err) // another process has taken the port: the scenario can't continue
		}
	}
	switch mode {
	case ConnectRefused:
		l.stopListening()
	case ConnectUnanswered:
		l.fillAcceptQueue()
	case ConnectAccepted:
		unix.Listen(l.listenFD, acceptBacklog)
		l.closeQueueFillers()
	}
}

// queueFillerCount is how many connections fill an accept queue of minimal length, with some to spare.
const queueFillerCount = 3

// fillAcceptQueue shrinks the accept queue to its minimum and fills it, so that the kernel drops new handshakes. l.mutex must be
// held.
func (l *Link) fillAcceptQueue() {
	unix.Listen(l.listenFD, 0)
	listening, _ := unix.Getsockname(l.listenFD)
	for range queueFillerCount {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return
		}
		unix.Connect(fd, listening)
		l.queueFillers = append(l.queueFillers, fd)
	}
}

// closeQueueFillers closes the connections of fillAcceptQueue. l.mutex must be held.
func (l *Link) closeQueueFillers() {
	for _, fd := range l.queueFillers {
		unix.Close(fd)
	}
	l.queueFillers = nil
}

// resetRelays resets some ends of all connections, and returns their number.
func (l *Link) resetRelays(which ends) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for r := range l.relays {
		r.resetConns(which)
	}
	count := len(l.relays)
	l.changed.Broadcast()
	return count
}
