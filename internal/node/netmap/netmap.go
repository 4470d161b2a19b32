// Package netmap rewrites the network part of addresses that a node connects to, for networks whose
// machines are reached under other addresses from here than those they announce: behind a tunnel or a
// one-to-one address translation, or behind relays that inject faults (internal/harness/fleet). Host
// part and port stay, so that one rule stands for all machines of a network.
//
// What a node announces of itself, and what it hands to others, is never rewritten. The package is pure.
package netmap

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// ErrRule says that the text of a rule can't be read.
var ErrInvalidRule = errors.New("netmap: a rule is FROM/BITS=TO, with IPv4 networks")

// Map is one rule. The zero value rewrites nothing.
type Map struct {
	announced netip.Prefix
	reachable netip.Addr // the network of the same size
}

// Parse reads a rule, as "10.1.2.0/24=10.9.2.0": addresses of the first network are reached in the
// second, of the same size. An empty text is the zero value. The error is of type ErrRule.
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
		return Map{}, fmt.Errorf("%w: %s is no network of %d bits", ErrInvalidRule, to, from.Bits())
	}
	return Map{announced: from, reachable: to}, nil
}

// Rewrite returns the address under which "IP:port" is reached from here. An address outside the rule's
// network, or one that is no IP and port, is returned as it is.
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

// hostMask is the bits of byte i of an address that are the host's in a network of so many bits.
func hostMask(networkBits, i int) byte {
	before := min(max(networkBits-i*bitsPerByte, 0), bitsPerByte)
	return byte(0xff >> before)
}
