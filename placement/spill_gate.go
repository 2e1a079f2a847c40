package placement

const (
	// gateLevelMargin is how far the load of a region must be below the target level
	// before the region accepts spill.
	gateLevelMargin = 0.15
	// gateLoadMargin is how far the load of a region must be below the sender's load
	// before it accepts spill, so that two loaded regions do not send load back and
	// forth.
	gateLoadMargin = 0.1
)

// SpillGate decides with hysteresis whether a remote region accepts spill from the
// local one. The zero value is closed. It is not safe for concurrent use.
type SpillGate struct {
	open bool
}

// Update reports whether the remote region accepts spill from the local one. level is
// the target load of the regions: the set point of utilization or, if all regions
// together are above it, their common load. The gate opens when the remote load is
// below both the level and the local load by a margin, and closes when the remote load
// has reached either. So a region at or above the common load accepts no spill, and of
// two regions only the one with the lower load can accept spill from the other.
func (g *SpillGate) Update(remote, local, level float64) bool {
	if g.open {
		g.open = remote < level && remote < local
		return g.open
	}
	g.open = remote < level-gateLevelMargin && remote < local-gateLoadMargin
	return g.open
}
