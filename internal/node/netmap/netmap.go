// Package netmap rewrites the network part of the addresses to which a node connects. It serves networks
// whose machines announce other addresses than those under which this node reaches them: behind a tunnel
// or a one-to-one address translation (NAT), or behind relays that inject faults
// (internal/harness/fleet). Host part and port stay the same, so that one rule covers all machines of a
// network.
//
// Addresses that a node announces or passes on to others are never rewritten. The package does no I/O and
// has no state.
package netmap

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// ErrInvalidRule is wrapped by the errors of Parse.
var ErrInvalidRule = errors.New("netmap: invalid rule, expected FROM/BITS=TO with IPv4 networks")

// Map is a rule that maps one network to another. The zero value rewrites nothing.
type Map struct {
	announced netip.Prefix // network of the addresses that machines announce
	reachable netip.Addr   // network under which they are reached; has as many bits as announced
}

// Parse parses a rule such as "10.1.2.0/24=10.9.2.0": addresses of the first network are reached under
// the second one, which has the same size. Empty text results in the zero value. Errors wrap
// ErrInvalidRule.
func Parse(text string) (Map, error) {
	if text == "" {
		return Map{}, nil
	}
	fromText, toText, found := strings.Cut(text, "=")
	if !found {
		return Map{}, fmt.Errorf("%w, not %q", ErrInvalidRule, text)
	}
	from, err := netip.ParsePrefix(fromText)
	if err != nil {
		return Map{}, fmt.Errorf("%w: %w", ErrInvalidRule, err)
	}
	to, err := netip.ParseAddr(toText)
	if err != nil {
		return Map{}, fmt.Errorf("%w: %w", ErrInvalidRule, err)
	}
	if !from.Addr().Is4() || !to.Is4() || from != from.Masked() {
		return Map{}, fmt.Errorf("%w, not %q", ErrInvalidRule, text)
	}
	if target := netip.PrefixFrom(to, from.Bits()); target != target.Masked() {
		return Map{}, fmt.Errorf("%w: %s is not the address of a network with a prefix of %d bits", ErrInvalidRule, to, from.Bits())
	}
	return Map{announced: from, reachable: to}, nil
}

// Rewrite returns the address under which this node reaches an address of the form "IP:port". An address
// outside the rule's network, or of another form, is returned unchanged.
func (m Map) Rewrite(address string) string {
	if !m.announced.IsValid() {
		return address
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !m.announced.Contains(parsed.Addr()) {
		return address
	}
	host, network := parsed.Addr().As4(), m.reachable.As4()
	for i := range host {
		hostBits := hostMask(m.announced.Bits(), i)
		host[i] = network[i]&^hostBits | host[i]&hostBits
	}
	return netip.AddrPortFrom(netip.AddrFrom4(host), parsed.Port()).String()
}

const bitsPerByte = 8

// hostMask returns the mask of the host bits in byte i of an address whose network prefix has networkBits
// bits.
func hostMask(networkBits, i int) byte {
	networkBitsInByte := min(max(networkBits-i*bitsPerByte, 0), bitsPerByte)
	return byte(0xff >> networkBitsInByte)
}
