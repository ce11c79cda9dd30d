package settings

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxFileBytes is the size of the largest accepted file. The store holds a region's document of at most 1 MB.
const MaxFileBytes = 1 << 20

// decoder collects the faults of one file.
type decoder struct {
	file   string
	faults Faults
}

// parse returns the root section of the data, or nil after a fault that prevents further decoding.
func (d *decoder) parse(data []byte) *section {
	if len(data) > MaxFileBytes {
		d.addFault(FaultSyntax, nil, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil
	}
	parsed, err := parseSafely(data)
	if err != nil {
		d.addSyntaxFault(err)
		return nil
	}
	if len(parsed.Docs) > 1 && parsed.Docs[1].Body != nil {
		d.addFault(FaultSyntax, parsed.Docs[1].Body, "", "a second document", "one document")
	}
	if len(parsed.Docs) == 0 || parsed.Docs[0].Body == nil {
		d.addFault(FaultMissing, nil, "", "an empty file", "a mapping of settings")
		return nil
	}
	return d.section(parsed.Docs[0].Body, "")
}

// parseSafely parses YAML and converts a panic of the parser into an error, so that a malformed file is
// reported like any other fault.
func parseSafely(data []byte) (parsed *ast.File, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("YAML parser failed: %v", cause)
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

func (d *decoder) addSyntaxFault(err error) {
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

// addFault records a fault at the position of the node; a nil node means the whole file.
func (d *decoder) addFault(kind FaultKind, node ast.Node, key, found, allowed string) {
	line, column := nodePosition(node)
	d.faults = append(d.faults, Fault{
		Kind: kind, File: d.file, Line: line, Column: column, Key: key, Found: found, Allowed: allowed,
	})
}

func nodePosition(node ast.Node) (line, column int) {
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

// describeNode returns the quoted and shortened text of the node, or its type, for use in a fault.
func describeNode(node ast.Node) string {
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
