// Package resource defines amounts of the resources that a worker offers and a task uses.
package resource

import "github.com/pkg/errors"

// ErrNegative reports a quantity with a negative component.
var ErrNegative = errors.New("resource quantity is negative")

// Quantity is an amount of processors, memory and accelerators.
type Quantity struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty" json:"milli_cpu" yaml:"milli_cpu"`
	// MemoryBytes is memory in bytes.
	MemoryBytes int64 `cbor:"2,keyasint,omitempty" json:"memory_bytes" yaml:"memory_bytes"`
	// Accelerators is a number of whole accelerator devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators" yaml:"accelerators"`
}

// Add returns the component-wise sum of q and other.
func (q Quantity) Add(other Quantity) Quantity {
	return Quantity{
		MilliCPU:     q.MilliCPU + other.MilliCPU,
		MemoryBytes:  q.MemoryBytes + other.MemoryBytes,
		Accelerators: q.Accelerators + other.Accelerators,
	}
}

// Sub returns the component-wise difference of q and other; components may become negative.
func (q Quantity) Sub(other Quantity) Quantity {
	return Quantity{
		MilliCPU:     q.MilliCPU - other.MilliCPU,
		MemoryBytes:  q.MemoryBytes - other.MemoryBytes,
		Accelerators: q.Accelerators - other.Accelerators,
	}
}

// FitsIn reports whether every component of q is at most that of limit.
func (q Quantity) FitsIn(limit Quantity) bool {
	return q.MilliCPU <= limit.MilliCPU &&
		q.MemoryBytes <= limit.MemoryBytes &&
		q.Accelerators <= limit.Accelerators
}

// IsZero reports whether every component is zero.
func (q Quantity) IsZero() bool { return q == Quantity{} }

// Validate returns ErrNegative if a component is negative.
func (q Quantity) Validate() error {
	if q.MilliCPU < 0 || q.MemoryBytes < 0 || q.Accelerators < 0 {
		return ErrNegative
	}
	return nil
}
