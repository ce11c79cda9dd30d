package settings

import "fmt"

// FaultKind classifies a fault in a settings file.
type FaultKind uint8

// Kinds of faults.
const (
	// FaultSyntax is text that is not YAML, or YAML that is not used here (anchors, tags, merge keys).
	FaultSyntax FaultKind = iota + 1
	// FaultUnknownKey is a key that does not exist at this place.
	FaultUnknownKey
	// FaultDuplicateKey is a key that occurs twice in one mapping.
	FaultDuplicateKey
	// FaultMissing is a required value that is absent or empty.
	FaultMissing
	// FaultType is a value whose type does not match the key.
	FaultType
	// FaultUnit is a duration or size without a unit or with an unknown one.
	FaultUnit
	// FaultValue is a value of the right type outside the allowed range or set.
	FaultValue
	// FaultContradiction is a combination that is not allowed, of values that are each allowed alone.
	FaultContradiction
	// FaultFile is a file that cannot be read.
	FaultFile
)

var faultKindNames = map[FaultKind]string{
	FaultSyntax: "syntax", FaultUnknownKey: "unknown key", FaultDuplicateKey: "duplicate key",
	FaultMissing: "missing value", FaultType: "wrong type", FaultUnit: "wrong unit",
	FaultValue: "value not allowed", FaultContradiction: "contradiction", FaultFile: "file",
}

// String returns the kind's name in lower case.
func (k FaultKind) String() string { return faultKindNames[k] }

// Fault is one fault at one position in a file.
type Fault struct {
	Kind FaultKind
	File string
	// Line and Column count from 1; both are 0 if the fault concerns the file as a whole.
	Line, Column int
	// Key is the path of the key, such as "listen.callers" or "entries[1]".
	Key string
	// Found describes what the file contains.
	Found string
	// Allowed describes what is allowed there.
	Allowed string
}

// Error implements error in the form "file:line:column: key: kind: found X; allowed: Y".
func (f Fault) Error() string {
	key := f.Key
	if key == "" {
		key = "(file)"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s: found %s; allowed: %s",
		f.File, f.Line, f.Column, key, f.Kind, f.Found, f.Allowed)
}
