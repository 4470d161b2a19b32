package operator

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Gossip is how brokers report failures of sites to each other, where an installation allows it.
type Gossip struct {
	Listen              netip.AddrPort
	Join                []string
	Key                 []byte            // nil: unencrypted
	RedirectedAddresses map[string]string // a peer's address, and that by which it is reached from here
}

// keySizes are those of AES.
var keySizes = []int{16, 24, 32}

func (f *talkFile) settings(watchSites bool, found *Findings) *Gossip {
	if !watchSites {
		found.add("/talk", "there is nothing to tell without sites")
	}
	g := &Gossip{Join: f.Join, RedirectedAddresses: f.Via}
	var err error
	if g.Listen, err = parseIPv4(f.Listen); err != nil {
		found.add("/talk/listen", "no address: %q", f.Listen)
	}
	for i, member := range f.Join {
		found.address(fmt.Sprintf("/talk/join/%d", i), member)
	}
	for _, peer := range slices.Sorted(maps.Keys(f.Via)) {
		for _, address := range []string{peer, f.Via[peer]} {
			if _, err := parseIPv4(address); err != nil {
				found.add("/talk/via/"+peer, "no address: %q", address)
			}
		}
	}
	if f.Key == "" {
		return g
	}
	if g.Key, err = hex.DecodeString(f.Key); err != nil || !slices.Contains(keySizes, len(g.Key)) {
		found.add("/talk/key", "not 16, 24 or 32 bytes in hexadecimal digits")
	}
	return g
}

func parseIPv4(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && !address.Addr().Is4() {
		err = fmt.Errorf("%s is not of IPv4", text)
	}
	return address, err
}
