package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Field is a value of a document with its position.
type Field[T any] struct {
	Value T
	// Key is the name of the field in the document, and Path its full path.
	Key, Path string
	// Line is the line of the field, or of the mapping that lacks it.
	Line int
	// Set is false if the document has no valid value for the field.
	Set bool
}

// Errorf adds an error about the field to the report.
func (f Field[T]) Errorf(r *Report, format string, arguments ...any) {
	r.Errorf(f.Line, f.Path, format, arguments...)
}

// Warnf adds a warning about the field to the report.
func (f Field[T]) Warnf(r *Report, format string, arguments ...any) {
	r.Warnf(f.Line, f.Path, format, arguments...)
}

// Section reads the keys of one mapping. It reports values of a wrong type and keys that occur twice.
type Section struct {
	report *Report
	node   *Node
	Path   string
	Line   int
	known  []string
}

// Section returns the section of a node, which is empty unless the node is a mapping.
func (r *Report) Section(node *Node, path string) *Section {
	s := &Section{report: r, node: node, Path: path, Line: node.Line}
	if node.Kind != KindMapping {
		r.Errorf(node.Line, path, "%s instead of a mapping", kindNames[node.Kind])
		s.node = &Node{}
	}
	seen := map[string]int{}
	for _, member := range s.node.Members {
		if line, repeated := seen[member.Key]; repeated {
			r.Errorf(member.Line, s.join(member.Key), "the key occurs twice; first on line %d", line)
			continue
		}
		seen[member.Key] = member.Line
	}
	return s
}

func (s *Section) join(key string) string { return strings.TrimPrefix(s.Path+"."+key, ".") }

// lookup returns the value of a key and marks the key as known. null counts as absent.
func (s *Section) lookup(key string) *Node {
	s.known = append(s.known, key)
	value := s.node.member(key)
	if value == nil || value.Kind == KindNull {
		return nil
	}
	return value
}

// scalar reads a value of the given kind. parse returns whether the text is valid.
func scalar[T any](s *Section, key string, kind Kind, allowed string, parse func(string) (T, error)) Field[T] {
	field := Field[T]{Key: key, Path: s.join(key), Line: s.Line}
	value := s.lookup(key)
	if value == nil {
		return field
	}
	field.Line = value.Line
	if value.Kind != kind {
		s.report.Errorf(value.Line, field.Path, "%s instead of %s", kindNames[value.Kind], allowed)
		return field
	}
	parsed, err := parse(value.Text)
	if err != nil {
		s.report.Errorf(value.Line, field.Path, "%s is not %s", value.Text, allowed)
		return field
	}
	field.Value, field.Set = parsed, true
	return field
}

// Text reads a string.
func (s *Section) Text(key string) Field[string] {
	return scalar(s, key, KindString, "a string", func(text string) (string, error) { return text, nil })
}

// Integer reads a whole number.
func (s *Section) Integer(key string) Field[int64] {
	return scalar(s, key, KindNumber, "a whole number", func(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) })
}

// Number reads a number.
func (s *Section) Number(key string) Field[float64] {
	return scalar(s, key, KindNumber, "a number", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// Boolean reads true or false.
func (s *Section) Boolean(key string) Field[bool] {
	return scalar(s, key, KindBoolean, "true or false", strconv.ParseBool)
}

// Sections returns the mappings of a list.
func (s *Section) Sections(key string) []*Section {
	list := s.lookup(key)
	if list == nil {
		return nil
	}
	if list.Kind != KindList {
		s.report.Errorf(list.Line, s.join(key), "%s instead of a list", kindNames[list.Kind])
		return nil
	}
	sections := make([]*Section, 0, len(list.Items))
	for _, item := range list.children(s.join(key)) {
		if section := s.report.Section(item.node, item.path); item.node.Kind == KindMapping {
			sections = append(sections, section)
		}
	}
	return sections
}

// Child returns the mapping of a key, or an empty section.
func (s *Section) Child(key string) *Section {
	if value := s.lookup(key); value != nil {
		return s.report.Section(value, s.join(key))
	}
	return &Section{report: s.report, node: &Node{}, Path: s.join(key), Line: s.Line}
}

// Ignore marks a key as known whose value is not checked.
func (s *Section) Ignore(key string) { s.known = append(s.known, key) }

// WarnUnknown adds a warning for each key that was not read. A key that differs from a known one in its case is an error,
// because package encoding/json reads it.
func (s *Section) WarnUnknown() {
	for _, member := range s.node.Members {
		if slices.Contains(s.known, member.Key) {
			continue
		}
		path := s.join(member.Key)
		alike := slices.IndexFunc(s.known, func(known string) bool { return strings.EqualFold(known, member.Key) })
		if alike >= 0 {
			s.report.Errorf(member.Line, path, "the key is read as %s; write it so", s.known[alike])
			continue
		}
		s.report.Warnf(member.Line, path, "unknown key; known: %s", strings.Join(s.known, ", "))
	}
}

// milliseconds describes a field with a duration in milliseconds.
func milliseconds(field Field[int64]) string { return fmt.Sprintf("%s %d", field.Key, field.Value) }
