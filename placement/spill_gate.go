package placement

const (
	// gateLevelMargin is how far the load of a region must be below the level before
	// the region accepts spill.
	gateLevelMargin = 0.15
	// gateLoadMargin is how far it must be below the sender's load as well, so that
	// two loaded regions do not send load back and forth.
	gateLoadMargin = 0.1
)

// SpillGate decides with hysteresis whether a remote region accepts spill from the
// local one. The zero value is closed. It is not safe for concurrent use.
type SpillGate struct {
	open bool
}

// Update takes the remote load, the local load and the level at which loads are
// kept: the set point of utilization or, once all regions together are beyond it,
// their common load. It reports whether the remote region accepts spill. The gate
// opens when the remote load is clearly below the level and the local load, and
// closes when it has reached either. So a region at or above the common load
// accepts no spill, and of two regions at most the one with the lower load does.
func (g *SpillGate) Update(remote, local, level float64) bool {
	if g.open {
		g.open = remote < level && remote < local
		return g.open
	}
	g.open = remote < level-gateLevelMargin && remote < local-gateLoadMargin
	return g.open
}
