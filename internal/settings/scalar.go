package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// presence is whether a key must have a value.
type presence bool

const (
	required presence = true
	optional presence = false
)

// text returns a string. An empty string counts as missing.
func (s *section) text(name string, presence presence, allowed string) string {
	value, ok := s.lookup(name)
	if !ok {
		if presence == required {
			s.addMissing(name, allowed)
		}
		return ""
	}
	text, ok := s.decoder.scalarText(value, s.keyPath(name), allowed)
	if ok && text == "" && presence == required {
		s.addMissing(name, allowed)
	}
	return text
}

// scalarText returns the text of a string. It rejects numbers and booleans, because YAML changes their
// spelling (the name 010 would become 8).
func (d *decoder) scalarText(value ast.Node, key, allowed string) (string, bool) {
	switch typed := value.(type) {
	case *ast.StringNode:
		return typed.Value, true
	case *ast.LiteralNode:
		return typed.Value.Value, true
	default:
		d.addFault(FaultType, value, key, describeNode(value), allowed+", as a string")
		return "", false
	}
}

// texts returns a list of strings.
func (s *section) texts(name string, presence presence, allowed string) []string {
	items := s.items(name)
	if len(items) == 0 {
		if presence == required {
			s.addMissing(name, "a list of "+allowed)
		}
		return nil
	}
	texts := make([]string, 0, len(items))
	for i, item := range items {
		key := fmt.Sprintf("%s[%d]", s.keyPath(name), i)
		text, ok := s.decoder.scalarText(item, key, allowed)
		if ok && text == "" {
			s.decoder.addFault(FaultMissing, item, key, "no value", allowed)
		}
		texts = append(texts, text)
	}
	return texts
}

// choice returns one of the allowed values, or the default if the key is absent.
func (s *section) choice(name, fallback string, allowed ...string) string {
	value, ok := s.lookup(name)
	if !ok {
		if fallback == "" {
			s.addMissing(name, strings.Join(allowed, ", "))
		}
		return fallback
	}
	text, ok := s.decoder.scalarText(value, s.keyPath(name), strings.Join(allowed, ", "))
	if ok && !slices.Contains(allowed, text) {
		s.decoder.addFault(FaultValue, value, s.keyPath(name), describeNode(value), strings.Join(allowed, ", "))
	}
	return text
}

// boolean returns a boolean, or false if the key is absent.
func (s *section) boolean(name string) bool {
	value, ok := s.lookup(name)
	if !ok {
		return false
	}
	typed, ok := value.(*ast.BoolNode)
	if !ok {
		s.decoder.addFault(FaultType, value, s.keyPath(name), describeNode(value), "true or false")
		return false
	}
	return typed.Value
}

// integer returns a whole number from minimum to maximum, or the default if the key is absent.
func (s *section) integer(name string, fallback, minimum, maximum int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	value, ok := s.lookup(name)
	if !ok {
		return fallback
	}
	typed, ok := value.(*ast.IntegerNode)
	if !ok {
		s.decoder.addFault(FaultType, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	number, err := strconv.ParseInt(typed.GetToken().Value, 10, 64)
	if err != nil || number < minimum || number > maximum {
		s.decoder.addFault(FaultValue, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	return number
}

// number returns a number from 0 to maximum, or the default if the key is absent.
func (s *section) number(name string, fallback, maximum float64) float64 {
	allowed := fmt.Sprintf("a number from 0 to %g", maximum)
	value, ok := s.lookup(name)
	if !ok {
		return fallback
	}
	switch value.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
	default:
		s.decoder.addFault(FaultType, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	number, err := strconv.ParseFloat(value.GetToken().Value, 64)
	if err != nil || !(number >= 0 && number <= maximum) {
		s.decoder.addFault(FaultValue, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	return number
}

// duration returns a duration with its unit, or the default if the key is absent.
func (s *section) duration(name string, fallback, minimum, maximum time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration with a unit (ms, s, m, h), from %s to %s", minimum, maximum)
	value, ok := s.lookup(name)
	if !ok {
		return fallback
	}
	source := scalarSource(value)
	parsed, err := time.ParseDuration(source)
	// time.ParseDuration accepts "0" without a unit.
	if err != nil || source == "0" {
		s.decoder.addFault(FaultUnit, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	if parsed < minimum || parsed > maximum {
		s.decoder.addFault(FaultValue, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	return parsed
}

// size returns a number of bytes written with its unit, or the default if the key is absent.
func (s *section) size(name string, fallback, minimum, maximum int64) int64 {
	allowed := fmt.Sprintf("a size with a unit (B, KB, MB, GB, TB, KiB, MiB, GiB, TiB), from %s to %s",
		FormatSize(minimum), FormatSize(maximum))
	value, ok := s.lookup(name)
	if !ok {
		return fallback
	}
	parsed, err := ParseSize(scalarSource(value))
	if err != nil {
		s.decoder.addFault(FaultUnit, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	if parsed < minimum || parsed > maximum {
		s.decoder.addFault(FaultValue, value, s.keyPath(name), describeNode(value), allowed)
		return fallback
	}
	return parsed
}

// scalarSource returns the text of a string node, and "" for any other node, such as a number without a unit.
func scalarSource(value ast.Node) string {
	if text, ok := value.(*ast.StringNode); ok {
		return text.Value
	}
	return ""
}
