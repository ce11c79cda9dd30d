package settings

import (
	"cmp"
	"slices"
	"strings"
)

// Faults is the error returned for an invalid file. It holds every fault, ordered by position.
type Faults []Fault

// Error implements error with one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds a Fault.
func (f Faults) Unwrap() []error {
	unwrapped := make([]error, 0, len(f))
	for _, fault := range f {
		unwrapped = append(unwrapped, fault)
	}
	return unwrapped
}

// sorted returns the faults ordered by position, or nil if there are none.
func (f Faults) sorted() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}
