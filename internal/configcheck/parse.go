package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// maxDepth bounds the nesting of a document.
const maxDepth = 64

// ParseError reports a document that is not valid JSON or YAML.
type ParseError struct {
	Line    int
	Message string
}

// Error implements error.
func (e *ParseError) Error() string { return e.Message }

// ParseJSON returns the root of a JSON document, or a *ParseError.
func ParseJSON(data []byte) (*Node, error) {
	lineAt := func(offset int64) int { return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n")) }
	var whole any
	if err := json.Unmarshal(data, &whole); err != nil {
		line := 1
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			line = lineAt(syntax.Offset)
		}
		return nil, &ParseError{line, err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return (&jsonReader{decoder: decoder, lineAt: lineAt}).value(0)
}

// jsonReader reads nodes from a document that is known to be valid JSON.
type jsonReader struct {
	decoder *json.Decoder
	lineAt  func(offset int64) int
}

// next returns the next token and its line. A token never extends over two lines.
func (r *jsonReader) next() (json.Token, int, error) {
	token, err := r.decoder.Token()
	line := r.lineAt(r.decoder.InputOffset())
	if err != nil {
		return nil, line, &ParseError{line, err.Error()}
	}
	return token, line, nil
}

// value returns the next value at the given depth of nesting.
func (r *jsonReader) value(depth int) (*Node, error) {
	token, line, err := r.next()
	if err != nil {
		return nil, err
	}
	delimiter, nested := token.(json.Delim)
	if !nested {
		return scalarNode(token, line), nil
	}
	if depth == maxDepth {
		return nil, &ParseError{line, fmt.Sprintf("nested more than %d levels deep", maxDepth)}
	}
	if delimiter == '[' {
		return r.list(line, depth)
	}
	return r.mapping(line, depth)
}

func (r *jsonReader) list(line, depth int) (*Node, error) {
	node := &Node{Kind: KindList, Line: line}
	for r.decoder.More() {
		item, err := r.value(depth + 1)
		if err != nil {
			return nil, err
		}
		node.Items = append(node.Items, item)
	}
	_, _, err := r.next()
	return node, err
}

func (r *jsonReader) mapping(line, depth int) (*Node, error) {
	node := &Node{Kind: KindMapping, Line: line}
	for r.decoder.More() {
		key, keyLine, err := r.next()
		if err != nil {
			return nil, err
		}
		value, err := r.value(depth + 1)
		if err != nil {
			return nil, err
		}
		node.Members = append(node.Members, Member{fmt.Sprint(key), keyLine, value})
	}
	_, _, err := r.next()
	return node, err
}

func scalarNode(token json.Token, line int) *Node {
	switch typed := token.(type) {
	case string:
		return &Node{Kind: KindString, Line: line, Text: typed}
	case json.Number:
		return &Node{Kind: KindNumber, Line: line, Text: typed.String()}
	case bool:
		return &Node{Kind: KindBoolean, Line: line, Text: fmt.Sprint(typed)}
	default:
		return &Node{Line: line}
	}
}

// ParseYAML returns the root of a YAML document that package settings has accepted.
func ParseYAML(data []byte) (*Node, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil, &ParseError{1, "not a YAML document"}
	}
	return yamlNode(file.Docs[0].Body), nil
}

func yamlNode(source ast.Node) *Node {
	node := &Node{Kind: KindNull, Line: source.GetToken().Position.Line}
	switch typed := source.(type) {
	case *ast.MappingNode:
		node.Kind = KindMapping
		for _, pair := range typed.Values {
			node.Members = append(node.Members, Member{
				Key: pair.Key.String(), Line: pair.Key.GetToken().Position.Line, Value: yamlNode(pair.Value),
			})
		}
		if len(node.Members) > 0 {
			node.Line = node.Members[0].Line
		}
	case *ast.MappingValueNode:
		return yamlNode(&ast.MappingNode{BaseNode: &ast.BaseNode{}, Start: typed.Start, Values: []*ast.MappingValueNode{typed}})
	case *ast.SequenceNode:
		node.Kind = KindList
		for _, item := range typed.Values {
			node.Items = append(node.Items, yamlNode(item))
		}
	case *ast.BoolNode:
		node.Kind, node.Text = KindBoolean, strings.TrimSpace(typed.String())
	case *ast.IntegerNode, *ast.FloatNode:
		node.Kind, node.Text = KindNumber, source.GetToken().Value
	case *ast.StringNode:
		node.Kind, node.Text = KindString, typed.Value
	case *ast.LiteralNode:
		node.Kind, node.Text = KindString, typed.Value.Value
	}
	return node
}
