package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// section reads the keys of one mapping. Each key that is asked for counts as known; finish reports
// the others.
type section struct {
	decoder *decoder
	node    ast.Node
	path    string
	keys    map[string]ast.Node
	values  map[string]ast.Node
	known   map[string]bool
}

// section returns the node as a mapping, with a fault for each duplicate key. A node that is no
// mapping gives a fault and an empty section, so that the remaining keys are still checked.
func (d *decoder) section(node ast.Node, path string) *section {
	s := &section{
		decoder: d, node: node, path: path,
		keys: map[string]ast.Node{}, values: map[string]ast.Node{}, known: map[string]bool{},
	}
	for _, pair := range d.pairs(node, path) {
		s.addPair(pair)
	}
	return s
}

func (d *decoder) pairs(node ast.Node, path string) []*ast.MappingValueNode {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}
	default:
		d.add(FaultType, node, path, describe(node), "a mapping")
		return nil
	}
}

func (s *section) addPair(pair *ast.MappingValueNode) {
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		s.decoder.add(FaultSyntax, pair.Key, s.path, pair.Key.String(), "a plain key")
		return
	}
	if first, exists := s.keys[key.Value]; exists {
		line, _ := position(first)
		s.decoder.add(FaultDuplicateKey, key, s.key(key.Value), describe(key),
			fmt.Sprintf("once, as on line %d", line))
		return
	}
	s.keys[key.Value] = key
	s.values[key.Value] = pair.Value
}

// key returns the path of a key of this section.
func (s *section) key(name string) string {
	if s.path == "" {
		return name
	}
	return s.path + "." + name
}

// take returns the value of a key and marks the key as known. A key without a value counts as absent.
func (s *section) take(name string) (ast.Node, bool) {
	s.known[name] = true
	value, ok := s.values[name]
	if !ok || value == nil {
		return nil, false
	}
	if _, null := value.(*ast.NullNode); null {
		return nil, false
	}
	return value, true
}

// at returns the node at which a fault of the key is reported.
func (s *section) at(name string) ast.Node {
	if value, ok := s.values[name]; ok && value != nil {
		return value
	}
	if key, ok := s.keys[name]; ok {
		return key
	}
	return s.node
}

// has reports whether the key has a value.
func (s *section) has(name string) bool {
	_, ok := s.take(name)
	return ok
}

func (s *section) missing(name, allowed string) {
	s.decoder.add(FaultMissing, s.at(name), s.key(name), "no value", allowed)
}

func (s *section) contradiction(name, found, allowed string) {
	s.decoder.add(FaultContradiction, s.at(name), s.key(name), found, allowed)
}

// child returns the mapping below the key, or an empty section if the key is absent.
func (s *section) child(name string) *section {
	value, ok := s.take(name)
	if !ok {
		return &section{
			decoder: s.decoder, node: s.at(name), path: s.key(name),
			keys: map[string]ast.Node{}, values: map[string]ast.Node{}, known: map[string]bool{},
		}
	}
	return s.decoder.section(value, s.key(name))
}

// sections returns the mappings of a list.
func (s *section) sections(name string) []*section {
	items := s.items(name)
	sections := make([]*section, 0, len(items))
	for i, item := range items {
		sections = append(sections, s.decoder.section(item, fmt.Sprintf("%s[%d]", s.key(name), i)))
	}
	return sections
}

// items returns the nodes of a list, none if the key is absent.
func (s *section) items(name string) []ast.Node {
	value, ok := s.take(name)
	if !ok {
		return nil
	}
	list, ok := value.(*ast.SequenceNode)
	if !ok {
		s.decoder.add(FaultType, value, s.key(name), describe(value), "a list")
		return nil
	}
	return list.Values
}

// finish reports every key that nothing asked for.
func (s *section) finish() {
	allowed := make([]string, 0, len(s.known))
	for name := range s.known {
		allowed = append(allowed, name)
	}
	sort.Strings(allowed)
	for name, key := range s.keys {
		if !s.known[name] {
			s.decoder.add(FaultUnknownKey, key, s.key(name), describe(key), strings.Join(allowed, ", "))
		}
	}
}
