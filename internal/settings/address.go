package settings

import (
	"fmt"
	"net/netip"

	"github.com/goccy/go-yaml/ast"
)

const (
	allowedListen   = "an IP address and port to listen on, such as 10.4.1.11:7443"
	allowedDial     = "an IP address and port, such as 10.4.1.11:7443"
	allowedLoopback = "a loopback IP address and port, such as 127.0.0.1:7460"
)

// listenAddress returns a required listen address. If plaintext is set, a non-loopback address is reported as a
// contradiction.
func (s *section) listenAddress(name string, plaintext bool) string {
	text, parsed, ok := s.addressPort(name, allowedListen)
	if ok && plaintext && !parsed.Addr().IsLoopback() {
		s.addContradiction(name, text+" without tls", allowedPlaintextFix)
	}
	return text
}

// loopbackAddress returns a required listen address and reports a fault if it is not a loopback address.
func (s *section) loopbackAddress(name string) string {
	text, parsed, ok := s.addressPort(name, allowedLoopback)
	if ok && !parsed.Addr().IsLoopback() {
		s.decoder.addFault(FaultValue, s.faultNode(name), s.keyPath(name), describeNode(s.faultNode(name)), allowedLoopback)
	}
	return text
}

// advertisedAddress returns the address that other processes dial. It defaults to the listen address, which
// then must not be the unspecified address (such as 0.0.0.0).
func (s *section) advertisedAddress(name, listen string) string {
	if s.hasValue(name) {
		return s.dialAddress(name)
	}
	parsed, err := netip.ParseAddrPort(listen)
	if err == nil && parsed.Addr().IsUnspecified() {
		s.addMissing(name, fmt.Sprintf("an address that others can dial, because listen.%s is %s", name, listen))
	}
	return listen
}

// dialAddress returns a required address to dial, which must not be the unspecified address.
func (s *section) dialAddress(name string) string {
	text, parsed, ok := s.addressPort(name, allowedDial)
	if ok && parsed.Addr().IsUnspecified() {
		s.decoder.addFault(FaultValue, s.faultNode(name), s.keyPath(name), describeNode(s.faultNode(name)), allowedDial)
	}
	return text
}

func (s *section) dialAddresses(name string, presence presence) []string {
	items := s.items(name)
	if len(items) == 0 && presence == required {
		s.addMissing(name, "a list of link addresses of entries")
	}
	addresses := make([]string, 0, len(items))
	lines := map[string]int{}
	for i, item := range items {
		key := fmt.Sprintf("%s[%d]", s.keyPath(name), i)
		text, parsed, ok := s.decoder.parseAddress(item, key, allowedDial)
		if !ok {
			continue
		}
		if parsed.Addr().IsUnspecified() {
			s.decoder.addFault(FaultValue, item, key, describeNode(item), allowedDial)
		}
		if line, exists := lines[text]; exists {
			s.decoder.addFault(FaultContradiction, item, key, describeNode(item), fmt.Sprintf("only once; already on line %d", line))
		}
		lines[text], _ = nodePosition(item)
		addresses = append(addresses, text)
	}
	return addresses
}

func (s *section) addressPort(name, allowed string) (string, netip.AddrPort, bool) {
	value, ok := s.lookup(name)
	if !ok {
		s.addMissing(name, allowed)
		return "", netip.AddrPort{}, false
	}
	return s.decoder.parseAddress(value, s.keyPath(name), allowed)
}

func (d *decoder) parseAddress(value ast.Node, key, allowed string) (string, netip.AddrPort, bool) {
	text, ok := d.scalarText(value, key, allowed)
	if !ok {
		return "", netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		d.addFault(FaultValue, value, key, describeNode(value), allowed)
		return text, netip.AddrPort{}, false
	}
	return text, parsed, true
}
