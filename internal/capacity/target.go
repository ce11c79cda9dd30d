package capacity

// targetUsage counts the requests in progress at a target. A request occupies one slot and one connection until
// its outcome is known.
type targetUsage struct {
	slots       int
	connections int
	inUse       int
	removed     bool
}

// SetTarget registers a target or changes its limits, or returns ErrInvalid if one is negative. Requests above a
// lowered limit continue.
func (t *Table) SetTarget(key TargetKey, slots, connections int) error {
	if slots < 0 || connections < 0 {
		return ErrInvalid
	}
	use, ok := t.targets[key]
	if !ok {
		use = &targetUsage{}
		t.targets[key] = use
	}
	use.slots, use.connections, use.removed = slots, connections, false
	return nil
}

// RemoveTarget unregisters a target. Its requests in progress are still counted, so that the target is not
// overcommitted if it registers again.
func (t *Table) RemoveTarget(key TargetKey) {
	use, ok := t.targets[key]
	if !ok {
		return
	}
	use.removed = true
	if use.inUse == 0 {
		delete(t.targets, key)
	}
}

// AdmitRequest reserves a slot and a connection, or returns ErrNoTarget or ErrBusy.
func (t *Table) AdmitRequest(key TargetKey) error {
	use, ok := t.targets[key]
	if !ok || use.removed {
		return ErrNoTarget
	}
	if use.inUse >= use.slots || use.inUse >= use.connections {
		return ErrBusy
	}
	use.inUse++
	return nil
}

// ReleaseRequest frees a slot and a connection that AdmitRequest has reserved.
func (t *Table) ReleaseRequest(key TargetKey) {
	use, ok := t.targets[key]
	if !ok {
		return
	}
	use.inUse = max(use.inUse-1, 0)
	if use.removed && use.inUse == 0 {
		delete(t.targets, key)
	}
}

// InUse returns the number of requests in progress at a target.
func (t *Table) InUse(key TargetKey) int {
	if use, ok := t.targets[key]; ok {
		return use.inUse
	}
	return 0
}
