package dispatch

// Bounds are limits on the traffic of all gateways together. A zero field selects the
// default.
type Bounds struct {
	// RetryRatio is the maximum ratio of additional attempts, those that arrive at
	// replicas after the first one of the same request, to requests.
	RetryRatio float64
	// WarmupOvershoot is the maximum rate at which a replica that is warming up may
	// receive requests, as a multiple of its slow-start rate.
	WarmupOvershoot float64
}

// Defaults of Bounds.
const (
	DefaultRetryRatio      = 0.2
	DefaultWarmupOvershoot = 1.5
)

const (
	// retryShare is the share of RetryRatio that each gateway uses. The rest is a margin:
	// replicas count arrivals a little later than gateways, and in different windows.
	retryShare = 0.6
	// maxSlowStartOwners is the number of gateways that may consider themselves the
	// slow-start owner of one replica at the same time, one on each side of a partition.
	maxSlowStartOwners = 2
	// slowStartShare is the share of WarmupOvershoot that the owners use. The rest is a
	// margin for requests that arrive closer together than they were sent.
	slowStartShare = 14.0 / 15
)

// withDefaults returns the bounds with each zero field set to its default.
func (b Bounds) withDefaults() Bounds {
	if b.RetryRatio == 0 {
		b.RetryRatio = DefaultRetryRatio
	}
	if b.WarmupOvershoot == 0 {
		b.WarmupOvershoot = DefaultWarmupOvershoot
	}
	return b
}

// retryRatio returns the ratio of retries to first attempts that one gateway allows itself.
func (b Bounds) retryRatio() float64 { return retryShare * b.RetryRatio }

// slowStartRatio returns the rate at which the slow-start owner of a replica sends
// requests to it, as a ratio of the replica's slow-start rate.
func (b Bounds) slowStartRatio() float64 {
	return min(1, slowStartShare*b.WarmupOvershoot/maxSlowStartOwners)
}
