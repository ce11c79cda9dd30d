package settings

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxFileBytes is the largest file that is read; a region's document is at most 1 MB in the store.
const MaxFileBytes = 1 << 20

// decoder collects the faults of one file.
type decoder struct {
	file   string
	faults Faults
}

// parse returns the root section of the data, or nil after a fault that leaves nothing to read.
func (d *decoder) parse(data []byte) *section {
	if len(data) > MaxFileBytes {
		d.add(FaultSyntax, nil, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil
	}
	parsed, err := parseSafely(data)
	if err != nil {
		d.addSyntax(err)
		return nil
	}
	if len(parsed.Docs) > 1 && parsed.Docs[1].Body != nil {
		d.add(FaultSyntax, parsed.Docs[1].Body, "", "a second document", "one document")
	}
	if len(parsed.Docs) == 0 || parsed.Docs[0].Body == nil {
		d.add(FaultMissing, nil, "", "an empty file", "a mapping of settings")
		return nil
	}
	return d.section(parsed.Docs[0].Body, "")
}

// parseSafely parses YAML and turns a panic of the parser into an error, because a malformed file
// must be reported like any other fault.
func parseSafely(data []byte) (parsed *ast.File, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the text cannot be parsed: %v", cause)
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

func (d *decoder) addSyntax(err error) {
	fault := Fault{Kind: FaultSyntax, File: d.file, Found: err.Error(), Allowed: "YAML"}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		fault.Found = syntax.Message
		if syntax.Token != nil && syntax.Token.Position != nil {
			fault.Line, fault.Column = syntax.Token.Position.Line, syntax.Token.Position.Column
		}
	}
	d.faults = append(d.faults, fault)
}

// add records a fault at the node; a nil node stands for the whole file.
func (d *decoder) add(kind FaultKind, node ast.Node, key, found, allowed string) {
	line, column := position(node)
	d.faults = append(d.faults, Fault{
		Kind: kind, File: d.file, Line: line, Column: column, Key: key, Found: found, Allowed: allowed,
	})
}

func position(node ast.Node) (line, column int) {
	if node == nil {
		return 1, 1
	}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return 1, 1
	}
	return token.Position.Line, token.Position.Column
}

// describe returns the node's text as it is quoted in a fault, cut to a readable length.
func describe(node ast.Node) string {
	const maxLength = 60
	switch typed := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "no value"
	case *ast.StringNode:
		return quote(typed.Value, maxLength)
	}
	return quote(node.String(), maxLength)
}

func quote(text string, maxLength int) string {
	if runes := []rune(text); len(runes) > maxLength {
		text = string(runes[:maxLength]) + "..."
	}
	return fmt.Sprintf("%q", text)
}
