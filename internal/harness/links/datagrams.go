package links

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	maxDatagramsInFlight = 1024 // on one link; more are lost, as in a router's queue
	maxDatagramBytes     = 64 << 10
	maxPortAttempts      = 20 // a port that is free for TCP may not be for UDP
)

// AddWithDatagrams adds a link that relays datagrams as well, at the same address. These go forward alone: answers take a link of
// their own. Partition and loss discard datagrams, as a network does.
func (n *Network) AddWithDatagrams(source, destination Endpoint, target string) (*Link, error) {
	var last error
	for range maxPortAttempts {
		l, err := n.Add(source, destination, target)
		if err != nil {
			return nil, err
		}
		if last = l.listenDatagrams(); last == nil {
			return l, nil
		}
		n.remove(l)
	}
	return nil, fmt.Errorf("no port is free for both TCP and UDP: %w", last)
}

// listenDatagrams starts the relay of datagrams.
func (l *Link) listenDatagrams() error {
	address, err := net.ResolveUDPAddr("udp4", l.address)
	if err != nil {
		return err
	}
	source, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	target, err := net.Dial("udp4", l.target)
	if err != nil {
		source.Close()
		return err
	}
	l.mutex.Lock()
	l.datagrams = source
	l.mutex.Unlock()
	go l.forwardDatagrams(source, target)
	return nil
}

// closeDatagrams ends the relay of datagrams. l.mutex must be held.
func (l *Link) closeDatagrams() {
	if l.datagrams != nil {
		l.datagrams.Close()
	}
}

// forwardDatagrams relays datagrams until the link is closed.
func (l *Link) forwardDatagrams(source *net.UDPConn, target net.Conn) {
	defer target.Close()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			if strings.Contains(err.Error(), "refused") { // of an earlier datagram, to a target that does not run
				continue
			}
			return
		}
		delay, lost := l.admitDatagram(n)
		if lost {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(delay, func() {
			if l.releaseDatagram() {
				target.Write(datagram)
			}
		})
	}
}

// admitDatagram counts a datagram, and draws whether it is lost, and else its delay.
func (l *Link) admitDatagram(bytes int) (delay time.Duration, lost bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	conditions := l.conditions[0]
	lost = conditions.Partitioned || l.connectMode == ConnectRefused || l.datagramsInFlight >= maxDatagramsInFlight ||
		conditions.LossRate > 0 && l.random.Float64() < conditions.LossRate
	delay = milliseconds(conditions.DelayMs + conditions.JitterMs*l.random.Float64())
	l.byteCount[0] += int64(bytes)
	if !lost {
		l.datagramsInFlight++
	}
	return delay, lost
}

// releaseDatagram ends the transit of a datagram, and reports whether it arrives.
func (l *Link) releaseDatagram() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.datagramsInFlight--
	return !l.conditions[0].Partitioned && !l.closed
}
