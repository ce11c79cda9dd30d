package capacity

// targetUse counts the requests in progress at a target. A request holds one slot and one connection
// until its outcome is known.
type targetUse struct {
	slots       int
	connections int
	inUse       int
	removed     bool
}

// SetTarget registers a target or changes its limits. Requests above a lowered limit go on.
func (t *Table) SetTarget(key TargetKey, slots, connections int) error {
	if slots < 0 || connections < 0 {
		return ErrInvalid
	}
	use, ok := t.targets[key]
	if !ok {
		use = &targetUse{}
		t.targets[key] = use
	}
	use.slots, use.connections, use.removed = slots, connections, false
	return nil
}

// RemoveTarget withdraws a target. Its requests in progress stay accounted for, so that a target that
// registers again is not overcommitted.
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
