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

// address returns a required listen address. If plaintext is set, an address that is not loopback is a
// contradiction.
func (s *section) address(name string, plaintext bool) string {
	text, parsed, ok := s.addressPort(name, allowedListen)
	if ok && plaintext && !parsed.Addr().IsLoopback() {
		s.contradiction(name, text+" without tls", allowedPlaintextFix)
	}
	return text
}

// loopbackAddress returns a listen address that must be loopback.
func (s *section) loopbackAddress(name string) string {
	text, parsed, ok := s.addressPort(name, allowedLoopback)
	if ok && !parsed.Addr().IsLoopback() {
		s.decoder.add(FaultValue, s.at(name), s.key(name), describe(s.at(name)), allowedLoopback)
	}
	return text
}

// advertised returns the address that others dial; it defaults to the listen address, which then
// must name one interface.
func (s *section) advertised(name, listen string) string {
	if s.has(name) {
		return s.dialAddress(name)
	}
	parsed, err := netip.ParseAddrPort(listen)
	if err == nil && parsed.Addr().IsUnspecified() {
		s.missing(name, fmt.Sprintf("an address that others can dial, because listen.%s is %s", name, listen))
	}
	return listen
}

// dialAddress returns an address to dial, which must name one host.
func (s *section) dialAddress(name string) string {
	text, parsed, ok := s.addressPort(name, allowedDial)
	if ok && parsed.Addr().IsUnspecified() {
		s.decoder.add(FaultValue, s.at(name), s.key(name), describe(s.at(name)), allowedDial)
	}
	return text
}

func (s *section) dialAddresses(name string, presence presence) []string {
	items := s.items(name)
	if len(items) == 0 && presence == required {
		s.missing(name, "a list of link addresses of entries")
	}
	addresses := make([]string, 0, len(items))
	lines := map[string]int{}
	for i, item := range items {
		key := fmt.Sprintf("%s[%d]", s.key(name), i)
		text, parsed, ok := s.decoder.parseAddress(item, key, allowedDial)
		if !ok {
			continue
		}
		if parsed.Addr().IsUnspecified() {
			s.decoder.add(FaultValue, item, key, describe(item), allowedDial)
		}
		if line, exists := lines[text]; exists {
			s.decoder.add(FaultContradiction, item, key, describe(item), fmt.Sprintf("once, as on line %d", line))
		}
		lines[text], _ = position(item)
		addresses = append(addresses, text)
	}
	return addresses
}

func (s *section) addressPort(name, allowed string) (string, netip.AddrPort, bool) {
	value, ok := s.take(name)
	if !ok {
		s.missing(name, allowed)
		return "", netip.AddrPort{}, false
	}
	return s.decoder.parseAddress(value, s.key(name), allowed)
}

func (d *decoder) parseAddress(value ast.Node, key, allowed string) (string, netip.AddrPort, bool) {
	text, ok := d.scalarText(value, key, allowed)
	if !ok {
		return "", netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		d.add(FaultValue, value, key, describe(value), allowed)
		return text, netip.AddrPort{}, false
	}
	return text, parsed, true
}
