package simnet

import (
	"bytes"
	"fmt"
	"net/netip"
)

// Instance is one server of the list of discovery.
type Instance struct {
	ID      string
	Addr    netip.AddrPort
	Cell    int
	State   string
	Started float64 // ms of the network's clock; 0: long ago
}

// DiscoveryAddress is the address of discovery.
var DiscoveryAddress = netip.MustParseAddrPort("127.0.0.9:85")

// listMessage is the list in its wire form, complete or as an update.
func (n *Network) listMessage(complete bool) string {
	n.generation++
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"generation":%d,"reset":%v,"instances":[`, n.generation, complete)
	first := true
	for _, s := range n.instances {
		if complete && s.State == "gone" {
			continue
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		fmt.Fprintf(&b, `{"instanceId":%q,"hostPort":%q,"zone":"a","cell":%d,"lifecycle":%q,"weight":1,"startedAtMs":%.0f}`,
			s.ID, s.Addr, s.Cell, s.State, s.Started)
	}
	b.WriteString("]}")
	return b.String()
}

// UpdateInstances changes the list, and sends it to the broker.
func (n *Network) UpdateInstances(change func(list []Instance) []Instance) {
	n.instances = change(n.instances)
	line := n.listMessage(false) + "\n"
	for _, c := range n.subscribers {
		c.Send([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(line), line)))
	}
}

// discoveryPeer is the peer at DiscoveryAddress.
type discoveryPeer Network

// Opened implements Peer. The list is sent once it is requested.
func (l *discoveryPeer) Opened(*PeerConn) {}

// Bytes implements Peer: the request is answered with a stream of lists.
func (l *discoveryPeer) Bytes(c *PeerConn, _ []byte) {
	n := (*Network)(l)
	line := n.listMessage(true) + "\n"
	c.Send([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)))
	n.subscribers = append(n.subscribers, c)
	n.sendKeepAlive(c)
}

// sendKeepAlive sends an empty line on the stream of lists each second.
func (n *Network) sendKeepAlive(c *PeerConn) {
	n.After(1000, func() {
		if !c.closed {
			c.Send([]byte("1\r\n\n\r\n"))
			n.sendKeepAlive(c)
		}
	})
}

// Closed implements Peer: the stream gets no more lists.
func (l *discoveryPeer) Closed(c *PeerConn) {
	n := (*Network)(l)
	for i, subscriber := range n.subscribers {
		if subscriber == c {
			n.subscribers = append(n.subscribers[:i], n.subscribers[i+1:]...)
			break
		}
	}
}
