package gossip

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// redirectingTransport reaches peers by other addresses than those they advertise. Their answers come to this broker's own
// address, as each of memberlist's messages names where its sender wants to be answered.
type redirectingTransport struct {
	*memberlist.NetTransport
	redirectedAddresses map[string]string
}

func newRedirectingTransport(config *memberlist.Config, redirected map[string]string) (memberlist.Transport, error) {
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{config.BindAddr}, BindPort: config.BindPort})
	if err != nil {
		return nil, err
	}
	if config.BindPort == 0 {
		config.BindPort = transport.GetAutoBindPort()
		config.AdvertisePort = config.BindPort
	}
	return &redirectingTransport{transport, redirected}, nil
}

func (t *redirectingTransport) redirect(advertised string) string {
	if address, known := t.redirectedAddresses[advertised]; known {
		return address
	}
	return advertised
}

// WriteTo sends a packet to the redirected address.
func (t *redirectingTransport) WriteTo(message []byte, address string) (time.Time, error) {
	return t.NetTransport.WriteTo(message, t.redirect(address))
}

// WriteToAddress sends a packet to a member's redirected address.
func (t *redirectingTransport) WriteToAddress(message []byte, address memberlist.Address) (time.Time, error) {
	address.Addr = t.redirect(address.Addr)
	return t.NetTransport.WriteToAddress(message, address)
}

// DialTimeout connects to the redirected address.
func (t *redirectingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.redirect(address), timeout)
}

// DialAddressTimeout connects to a member's redirected address.
func (t *redirectingTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	address.Addr = t.redirect(address.Addr)
	return t.NetTransport.DialAddressTimeout(address, timeout)
}

var _ memberlist.NodeAwareTransport = (*redirectingTransport)(nil)
