package gossip

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// redirectingTransport reaches peers by other addresses than those they go by. Their answers come to this broker's own address, as each
// message of memberlist's names where its sender wants to be answered.
type redirectingTransport struct {
	*memberlist.NetTransport
	redirectedAddresses map[string]string
}

func newRedirectingTransport(c *memberlist.Config, to map[string]string) (memberlist.Transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort})
	if err != nil {
		return nil, err
	}
	if c.BindPort == 0 {
		c.BindPort = t.GetAutoBindPort()
		c.AdvertisePort = c.BindPort
	}
	return &redirectingTransport{t, to}, nil
}

func (v *redirectingTransport) redirect(at string) string {
	if to, known := v.redirectedAddresses[at]; known {
		return to
	}
	return at
}

func (v *redirectingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return v.NetTransport.WriteTo(b, v.redirect(addr))
}

func (v *redirectingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = v.redirect(a.Addr)
	return v.NetTransport.WriteToAddress(b, a)
}

func (v *redirectingTransport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return v.NetTransport.DialTimeout(v.redirect(addr), within)
}

func (v *redirectingTransport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	a.Addr = v.redirect(a.Addr)
	return v.NetTransport.DialAddressTimeout(a, within)
}

var _ memberlist.NodeAwareTransport = (*redirectingTransport)(nil)
