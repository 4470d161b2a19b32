package gossip

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// redirectingTransport sends to peers at other addresses than those they advertise. Their replies still arrive at this
// aggregator's own address, as each message of memberlist contains the address to which its sender wants the reply.
type redirectingTransport struct {
	*memberlist.NetTransport
	redirectedAddresses map[string]string // by advertised address
}

// newRedirectingTransport opens a transport on the bind address of config. If the bind port is 0, it sets the ports in config to the
// one that the operating system has chosen.
func newRedirectingTransport(config *memberlist.Config, redirected map[string]string) (memberlist.Transport, error) {
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{config.BindAddr},
		BindPort:  config.BindPort,
	})
	if err != nil {
		return nil, err
	}
	if config.BindPort == 0 {
		config.BindPort = transport.GetAutoBindPort()
		config.AdvertisePort = config.BindPort
	}
	return &redirectingTransport{transport, redirected}, nil
}

// redirect returns the address at which to reach the peer that advertises the given one.
func (t *redirectingTransport) redirect(advertised string) string {
	if address, known := t.redirectedAddresses[advertised]; known {
		return address
	}
	return advertised
}

// WriteTo implements memberlist.Transport. It sends a packet to the redirected address.
func (t *redirectingTransport) WriteTo(message []byte, address string) (time.Time, error) {
	return t.NetTransport.WriteTo(message, t.redirect(address))
}

// WriteToAddress implements memberlist.NodeAwareTransport. It sends a packet to a member's redirected address.
func (t *redirectingTransport) WriteToAddress(message []byte, address memberlist.Address) (time.Time, error) {
	address.Addr = t.redirect(address.Addr)
	return t.NetTransport.WriteToAddress(message, address)
}

// DialTimeout implements memberlist.Transport. It connects to the redirected address.
func (t *redirectingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.redirect(address), timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport. It connects to a member's redirected address.
func (t *redirectingTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	address.Addr = t.redirect(address.Addr)
	return t.NetTransport.DialAddressTimeout(address, timeout)
}

var _ memberlist.NodeAwareTransport = (*redirectingTransport)(nil)
