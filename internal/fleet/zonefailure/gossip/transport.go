package gossip

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// via reaches peers by other addresses than those they go by. Their answers come to this broker's own address, as each
// message of memberlist's names where its sender wants to be answered.
type via struct {
	*memberlist.NetTransport
	to map[string]string
}

func overVia(c *memberlist.Config, to map[string]string) (memberlist.Transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort})
	if err != nil {
		return nil, err
	}
	if c.BindPort == 0 {
		c.BindPort = t.GetAutoBindPort()
		c.AdvertisePort = c.BindPort
	}
	return &via{t, to}, nil
}

func (v *via) addr(at string) string {
	if to, known := v.to[at]; known {
		return to
	}
	return at
}

// WriteTo sends a packet to the address that stands for addr.
func (v *via) WriteTo(b []byte, addr string) (time.Time, error) {
	return v.NetTransport.WriteTo(b, v.addr(addr))
}

// WriteToAddress sends a packet to the address that stands for the member's.
func (v *via) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = v.addr(a.Addr)
	return v.NetTransport.WriteToAddress(b, a)
}

// DialTimeout connects to the address that stands for addr.
func (v *via) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return v.NetTransport.DialTimeout(v.addr(addr), within)
}

// DialAddressTimeout connects to the address that stands for the member's.
func (v *via) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	a.Addr = v.addr(a.Addr)
	return v.NetTransport.DialAddressTimeout(a, within)
}

var _ memberlist.NodeAwareTransport = (*via)(nil)
