package ingress

import "sync/atomic"

// Budget is the number of bytes that all connections of a process may hold together. An exhausted budget never
// blocks. It is safe for concurrent use. A nil budget has no limit.
type Budget struct {
	limit int64
	// parent is the budget that this one is a part of, or nil.
	parent *Budget
	held   atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Part returns a budget of limit bytes whose reservations count in b as well.
func (b *Budget) Part(limit int64) *Budget { return &Budget{limit: limit, parent: b} }

// Reserve takes n bytes from the budget. It returns false and takes nothing if fewer are left.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	for {
		held := b.held.Load()
		if n > b.limit-held {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			break
		}
	}
	if !b.parent.Reserve(n) {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) {
	for ; b != nil; b = b.parent {
		b.held.Add(-n)
	}
}

// Held returns the number of reserved bytes.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}
