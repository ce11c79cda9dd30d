package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// section reads the keys of one mapping. Each key that is looked up becomes a known key;
// reportUnknownKeys reports the others.
type section struct {
	decoder *decoder
	node    ast.Node
	path    string
	keys    map[string]ast.Node
	values  map[string]ast.Node
	known   map[string]bool
}

// section returns the section of a mapping node and reports each duplicate key. For any other node it reports
// a fault and returns an empty section, so that the remaining keys are still checked.
func (d *decoder) section(node ast.Node, path string) *section {
	s := &section{
		decoder: d, node: node, path: path,
		keys: map[string]ast.Node{}, values: map[string]ast.Node{}, known: map[string]bool{},
	}
	for _, pair := range d.mappingPairs(node, path) {
		s.addPair(pair)
	}
	return s
}

func (d *decoder) mappingPairs(node ast.Node, path string) []*ast.MappingValueNode {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}
	default:
		d.addFault(FaultType, node, path, describeNode(node), "a mapping")
		return nil
	}
}

func (s *section) addPair(pair *ast.MappingValueNode) {
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		s.decoder.addFault(FaultSyntax, pair.Key, s.path, pair.Key.String(), "a plain key")
		return
	}
	if first, exists := s.keys[key.Value]; exists {
		line, _ := nodePosition(first)
		s.decoder.addFault(FaultDuplicateKey, key, s.keyPath(key.Value), describeNode(key),
			fmt.Sprintf("only once; already on line %d", line))
		return
	}
	s.keys[key.Value] = key
	s.values[key.Value] = pair.Value
}

// keyPath returns the path of a key of this section.
func (s *section) keyPath(name string) string {
	if s.path == "" {
		return name
	}
	return s.path + "." + name
}

// lookup returns the value of a key and marks the key as known. A key without a value counts as absent.
func (s *section) lookup(name string) (ast.Node, bool) {
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

// faultNode returns the node whose position is reported in a fault of the key.
func (s *section) faultNode(name string) ast.Node {
	if value, ok := s.values[name]; ok && value != nil {
		return value
	}
	if key, ok := s.keys[name]; ok {
		return key
	}
	return s.node
}

// hasValue reports whether the key has a value, and marks the key as known.
func (s *section) hasValue(name string) bool {
	_, ok := s.lookup(name)
	return ok
}

func (s *section) addMissing(name, allowed string) {
	s.decoder.addFault(FaultMissing, s.faultNode(name), s.keyPath(name), "no value", allowed)
}

func (s *section) addContradiction(name, found, allowed string) {
	s.decoder.addFault(FaultContradiction, s.faultNode(name), s.keyPath(name), found, allowed)
}

// child returns the mapping below the key, or an empty section if the key is absent.
func (s *section) child(name string) *section {
	value, ok := s.lookup(name)
	if !ok {
		return &section{
			decoder: s.decoder, node: s.faultNode(name), path: s.keyPath(name),
			keys: map[string]ast.Node{}, values: map[string]ast.Node{}, known: map[string]bool{},
		}
	}
	return s.decoder.section(value, s.keyPath(name))
}

// sections returns the mappings of a list.
func (s *section) sections(name string) []*section {
	items := s.items(name)
	sections := make([]*section, 0, len(items))
	for i, item := range items {
		sections = append(sections, s.decoder.section(item, fmt.Sprintf("%s[%d]", s.keyPath(name), i)))
	}
	return sections
}

// items returns the nodes of a list, or nil if the key is absent.
func (s *section) items(name string) []ast.Node {
	value, ok := s.lookup(name)
	if !ok {
		return nil
	}
	list, ok := value.(*ast.SequenceNode)
	if !ok {
		s.decoder.addFault(FaultType, value, s.keyPath(name), describeNode(value), "a list")
		return nil
	}
	return list.Values
}

// reportUnknownKeys reports every key that was not looked up.
func (s *section) reportUnknownKeys() {
	allowed := make([]string, 0, len(s.known))
	for name := range s.known {
		allowed = append(allowed, name)
	}
	sort.Strings(allowed)
	for name, key := range s.keys {
		if !s.known[name] {
			s.decoder.addFault(FaultUnknownKey, key, s.keyPath(name), describeNode(key), strings.Join(allowed, ", "))
		}
	}
}
