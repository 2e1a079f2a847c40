package simulation

import "time"

const (
	// maxDrift is the largest relative deviation of the rate of a clock.
	maxDrift = 0.02
	// maxBuffered is the number of messages that wait for a frozen process at most.
	maxBuffered = 256
)

// process is the part of a running process that machines and gateways share: a monotonic
// clock that drifts, and the messages that wait while the process is frozen.
type process struct {
	world *world
	// incarnation counts the starts. A timer of an earlier one does nothing.
	incarnation int
	started     time.Duration
	drift       float64
	frozen      bool
	buffered    []func()
}

// begin begins a new incarnation with a new clock.
func (p *process) begin() {
	p.incarnation++
	p.started = p.world.now
	p.drift = maxDrift * (2*p.world.random.Float64() - 1)
	p.frozen = false
	p.buffered = nil
}

// clock returns the time of the process's monotonic clock, which starts at zero with the
// process and drifts.
func (p *process) clock() time.Duration {
	elapsed := p.world.now - p.started
	return elapsed + time.Duration(float64(elapsed)*p.drift)
}

// worldTime converts a time of the process's clock to virtual time.
func (p *process) worldTime(local time.Duration) time.Duration {
	return p.started + time.Duration(float64(local)/(1+p.drift))
}

// buffer keeps the handling of a message for the time after a freeze. It drops the message
// if there are too many.
func (p *process) buffer(message func()) {
	if len(p.buffered) < maxBuffered {
		p.buffered = append(p.buffered, message)
	}
}

// endFreeze ends a freeze and returns the buffered messages.
func (p *process) endFreeze() []func() {
	p.frozen = false
	messages := p.buffered
	p.buffered = nil
	return messages
}
