package dispatch

// Bounds are what the operators grant all gateways together. A zero field stands
// for its default.
type Bounds struct {
	// RetryRatio bounds the attempts that arrive at replicas beyond the first of each
	// request, over the requests.
	RetryRatio float64
	// WarmupOvershoot is the factor by which a cold replica may get more than it bears.
	WarmupOvershoot float64
}

// Defaults of Bounds.
const (
	DefaultRetryRatio      = 0.2
	DefaultWarmupOvershoot = 1.5
)

const (
	// retryPart is the part of the granted retries that each gateway aims at. Replicas
	// count arrivals a little later than gateways, and by other windows.
	retryPart = 0.6
	// coldFeeders is how many gateways may take themselves for the feeder of one cold
	// replica, as on both sides of a cut.
	coldFeeders = 2
	// coldPart leaves room for requests that come closer together than they were sent.
	coldPart = 14.0 / 15
)

// withDefaults fills the zero fields.
func (b Bounds) withDefaults() Bounds {
	if b.RetryRatio == 0 {
		b.RetryRatio = DefaultRetryRatio
	}
	if b.WarmupOvershoot == 0 {
		b.WarmupOvershoot = DefaultWarmupOvershoot
	}
	return b
}

// retryRatio is a gateway's aim for retries over first attempts.
func (b Bounds) retryRatio() float64 { return retryPart * b.RetryRatio }

// coldShare is the part of what a cold replica bears that its feeder sends.
func (b Bounds) coldShare() float64 { return min(1, coldPart*b.WarmupOvershoot/coldFeeders) }
