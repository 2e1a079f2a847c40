package dispatch

// Bounds limit what all gateways together do. A zero field stands for its default.
type Bounds struct {
	// RetryRatio limits the attempts that arrive at replicas beyond the first of each
	// request, as a ratio of the requests.
	RetryRatio float64
	// WarmupOvershoot is the factor by which a replica that is warming up may receive
	// more than its slow-start rate.
	WarmupOvershoot float64
}

// Defaults of Bounds.
const (
	DefaultRetryRatio      = 0.2
	DefaultWarmupOvershoot = 1.5
)

const (
	// retryShare is the share of the retry ratio that each gateway aims at. Replicas
	// count arrivals a little later than gateways, and in other windows.
	retryShare = 0.6
	// maxSlowStartOwners is how many gateways may consider themselves the slow-start
	// owner of one replica, as on both sides of a partition.
	maxSlowStartOwners = 2
	// slowStartShare leaves room for requests that arrive closer together than they
	// were sent.
	slowStartShare = 14.0 / 15
)

// withDefaults returns the bounds with their zero fields set.
func (b Bounds) withDefaults() Bounds {
	if b.RetryRatio == 0 {
		b.RetryRatio = DefaultRetryRatio
	}
	if b.WarmupOvershoot == 0 {
		b.WarmupOvershoot = DefaultWarmupOvershoot
	}
	return b
}

// retryRatio returns the ratio of retries to first attempts that one gateway aims at.
func (b Bounds) retryRatio() float64 { return retryShare * b.RetryRatio }

// slowStartRatio returns the ratio of a replica's slow-start rate that its owner sends.
func (b Bounds) slowStartRatio() float64 {
	return min(1, slowStartShare*b.WarmupOvershoot/maxSlowStartOwners)
}
