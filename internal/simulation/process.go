package simulation

import "time"

const (
	// maxDrift is the largest relative deviation of a clock's rate.
	maxDrift = 0.02
	// maxBuffered is the maximum number of messages buffered for a frozen process.
	maxBuffered = 256
)

// process is the part of a running process that machines and gateways have in common: a
// monotonic clock that drifts, and the messages buffered while the process is frozen.
type process struct {
	world *world
	// incarnation counts the starts. Timers of earlier incarnations have no effect.
	incarnation int
	started     time.Duration
	drift       float64
	frozen      bool
	buffered    []func()
}

// begin starts a new incarnation with a new clock.
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

// buffer stores a message until the freeze ends. It drops the message if maxBuffered
// messages are stored already.
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
