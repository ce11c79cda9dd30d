package scheduler

// connectedFilter excludes workers without a connection and workers that are leaving.
type connectedFilter struct{}

func (connectedFilter) check(_ *candidate, n *node) Reason {
	switch {
	case !n.Connected:
		return ReasonDisconnected
	case n.Leaving:
		return ReasonLeaving
	default:
		return 0
	}
}
