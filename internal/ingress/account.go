package ingress

import "sync"

// Account holds the reservations of one connection or request and returns them to the budget when that ends. It is
// safe for concurrent use. A nil account has no limit.
type Account struct {
	budget *Budget
	meter  *meter

	mu     sync.Mutex
	held   int64
	closed bool
}

// Reserve takes n bytes from the budget. It returns false if fewer are left or the account is closed.
func (a *Account) Reserve(n int64) bool {
	if !a.tryReserve(n) {
		a.meter.refuse(reasonMemory)
		return false
	}
	return true
}

// tryReserve is Reserve without counting a refusal.
func (a *Account) tryReserve(n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.budget.Reserve(n) {
		return false
	}
	a.held += n
	a.meter.held.Add(float64(n))
	return true
}

// Release returns n bytes to the budget. It does nothing after Close.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.releaseLocked(n)
	}
}

// Close returns all reserved bytes. Later calls have no effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.releaseLocked(a.held)
	}
}

// RefuseFrame counts a frame above the limit for its peer.
func (a *Account) RefuseFrame() {
	if a != nil {
		a.meter.refuse(reasonFrame)
	}
}

func (a *Account) releaseLocked(n int64) {
	a.held -= n
	a.budget.Release(n)
	a.meter.held.Add(-float64(n))
}
