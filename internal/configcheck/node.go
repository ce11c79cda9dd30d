package configcheck

import (
	"fmt"
	"strings"
)

// Kind is the type of a Node.
type Kind uint8

// Kinds of nodes.
const (
	KindNull Kind = iota
	KindBoolean
	KindNumber
	KindString
	KindList
	KindMapping
)

// kindNames describe a node in findings.
var kindNames = map[Kind]string{
	KindNull: "null", KindBoolean: "a boolean", KindNumber: "a number", KindString: "a string", KindList: "a list", KindMapping: "a mapping",
}

// Node is a value of a document with its position.
type Node struct {
	Kind Kind
	// Line counts from 1.
	Line int
	// Text is the source text of a boolean or number, or the content of a string.
	Text    string
	Items   []*Node
	Members []Member
}

// Member is a key of a mapping with its value.
type Member struct {
	Key   string
	Line  int
	Value *Node
}

// member returns the first value of a key, or nil.
func (n *Node) member(key string) *Node {
	for i := range n.Members {
		if n.Members[i].Key == key {
			return n.Members[i].Value
		}
	}
	return nil
}

// itemNames returns the label of each item of a list: its name if it is a mapping with one, its text if it is a scalar, and
// otherwise its index. Labels that occur more than once are numbered.
func (n *Node) itemNames() []string {
	names := make([]string, len(n.Items))
	seen := map[string]int{}
	for i, item := range n.Items {
		name := item.Text
		if item.Kind == KindMapping {
			if named := item.member("name"); named != nil {
				name = named.Text
			}
		}
		if name == "" {
			name = fmt.Sprint(i)
		}
		seen[name]++
		if seen[name] > 1 {
			name = fmt.Sprintf("%s#%d", name, seen[name])
		}
		names[i] = name
	}
	return names
}

// child is a direct part of a mapping or list with its path.
type child struct {
	path string
	line int
	node *Node
}

// children returns the parts of a mapping or list, in order.
func (n *Node) children(path string) []child {
	var found []child
	for _, member := range n.Members {
		found = append(found, child{strings.TrimPrefix(path+"."+member.Key, "."), member.Line, member.Value})
	}
	for i, name := range n.itemNames() {
		found = append(found, child{fmt.Sprintf("%s[%s]", path, name), n.Items[i].Line, n.Items[i]})
	}
	return found
}

// LineOf returns the line of the path, such as "services[rail].team", or of the nearest part of it that exists.
func (n *Node) LineOf(path string) int {
	line, at := n.Line, ""
	for node := n; node != nil; {
		var next *Node
		for _, part := range node.children(at) {
			rest, ok := strings.CutPrefix(path, part.path)
			if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
				next, line, at = part.node, part.line, part.path
				break
			}
		}
		node = next
	}
	return line
}
