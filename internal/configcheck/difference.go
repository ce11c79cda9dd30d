package configcheck

import "fmt"

// Difference is an entry that two documents do not have in common.
type Difference struct {
	Path string `json:"path"`
	// Old and New are the values in the two documents; empty where the entry is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the difference in the form "+ path: new", "- path: old" or "~ path: old -> new".
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Old, d.New)
	}
}

// Differences returns the values in which two documents differ. Items of lists are compared by their names, so their order
// is not compared.
func Differences(old, next *Node) []Difference {
	before, after := map[string]string{}, map[string]string{}
	var paths []string
	collectValues(old, "", before, func(path string) { paths = append(paths, path) })
	collectValues(next, "", after, func(path string) {
		if _, known := before[path]; !known {
			paths = append(paths, path)
		}
	})
	var differences []Difference
	for _, path := range paths {
		if before[path] != after[path] {
			differences = append(differences, Difference{path, before[path], after[path]})
		}
	}
	return differences
}

// collectValues fills values with the text of each scalar and of each empty mapping or list below the node.
func collectValues(node *Node, path string, values map[string]string, visit func(path string)) {
	children := node.children(path)
	for _, part := range children {
		collectValues(part.node, part.path, values, visit)
	}
	if len(children) > 0 {
		return
	}
	values[path] = node.display()
	visit(path)
}

// display returns the text of a node without children. It is never empty.
func (n *Node) display() string {
	switch n.Kind {
	case KindString:
		return fmt.Sprintf("%q", n.Text)
	case KindNumber, KindBoolean:
		return n.Text
	default:
		return kindNames[n.Kind]
	}
}
