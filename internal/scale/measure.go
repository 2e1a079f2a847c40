package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/transport"
)

// Times of one measurement.
const (
	settleTime = 2 * time.Second
	quietTime  = 5 * time.Second
	changes    = 10
	burst      = 50
	restarts   = 70
	mebibyte   = 1 << 20
)

// reading is what one size costs.
type reading struct {
	gateways int
	replicas int

	primary  cost
	follower cost
	// gateway is the hollow process divided by its gateways.
	gateway cost

	acknowledged []time.Duration // per change, at the sender
	everywhere   []time.Duration // per change, until the last gateway acted on it
	perChange    float64         // bytes at the primary for one change
	perGateway   float64         // bytes at one gateway for one change
	changeCPU    float64         // seconds of the primary's processor for one change
	kinds        []kindRate      // the primary's frames at rest
	restart      time.Duration   // for some gateways lost at once until all have leases again
	restarted    time.Duration   // from that loss until the next change was acknowledged
	burst        time.Duration   // for a number of changes one after the other
	failover     time.Duration   // loss of the primary until the next acknowledgement
}

// cost is one process at rest, per second.
type cost struct {
	messages float64
	bytes    float64
	cpu      float64 // share of one core
	heap     float64 // bytes
	resident float64 // bytes
}

// observed are the samples of all processes at one moment.
type observed struct {
	primary  sample
	follower sample
	hollow   sample
}

// measurement is one size being measured.
type measurement struct {
	group    *group
	hollow   *process
	primary  int
	follower int
}

func (m *measurement) observe(collect bool) (observed, error) {
	var all observed
	for _, one := range []struct {
		child *process
		into  *sample
	}{
		{m.group.processes[m.primary], &all.primary},
		{m.group.processes[m.follower], &all.follower},
		{m.hollow, &all.hollow},
	} {
		report, err := one.child.ask(order{Collect: collect})
		if err != nil {
			return observed{}, err
		}
		*one.into = report
	}
	return all, nil
}

// measureSize measures one number of gateways and replicas.
func measureSize(ctx context.Context, gateways, replicas int) (reading, error) {
	result := reading{gateways: gateways, replicas: replicas}
	g, err := startGroup(ctx, replicaList(replicas))
	if err != nil {
		return result, err
	}
	defer g.stop()
	m := &measurement{group: g}
	if m.hollow, err = g.startHollow(ctx, gateways); err != nil {
		return result, err
	}
	defer m.hollow.stop()
	if m.primary, err = g.primary(ctx); err != nil {
		return result, err
	}
	m.follower = (m.primary + 1) % controlCount
	for _, step := range []func(context.Context, *reading) error{m.atRest, m.underChanges, m.inBurst, m.afterRestarts, m.afterLoss} {
		if err := step(ctx, &result); err != nil {
			return result, fmt.Errorf("%d gateways, %d replicas: %w", gateways, replicas, err)
		}
	}
	return result, nil
}

func (m *measurement) atRest(_ context.Context, into *reading) error {
	time.Sleep(settleTime)
	before, err := m.observe(true)
	if err != nil {
		return err
	}
	time.Sleep(quietTime)
	after, err := m.observe(true)
	if err != nil {
		return err
	}
	into.primary = costBetween(before.primary, after.primary)
	into.follower = costBetween(before.follower, after.follower)
	into.gateway = costBetween(before.hollow, after.hollow).dividedBy(float64(into.gateways))
	into.kinds = kindsBetween(before.primary, after.primary)
	return nil
}

// kindRate is the frames of one kind, both ways, per second.
type kindRate struct {
	kind   transport.Kind
	frames float64
	bytes  float64
}

func kindsBetween(before, after sample) []kindRate {
	seconds := float64(after.At-before.At) / float64(time.Second)
	var rates []kindRate
	for kind, now := range after.Frames {
		then := before.Frames[kind]
		rates = append(rates, kindRate{
			kind:   kind,
			frames: float64(now.SentMessages+now.ReceivedMessages-then.SentMessages-then.ReceivedMessages) / seconds,
			bytes:  float64(now.SentBytes+now.ReceivedBytes-then.SentBytes-then.ReceivedBytes) / seconds,
		})
	}
	slices.SortFunc(rates, func(a, b kindRate) int { return int(a.kind) - int(b.kind) })
	return rates
}

func costBetween(before, after sample) cost {
	seconds := float64(after.At-before.At) / float64(time.Second)
	messagesBefore, bytesBefore := before.traffic()
	messagesAfter, bytesAfter := after.traffic()
	return cost{
		messages: (messagesAfter - messagesBefore) / seconds,
		bytes:    (bytesAfter - bytesBefore) / seconds,
		cpu:      float64(after.CPU-before.CPU) / float64(after.At-before.At),
		heap:     float64(after.Heap),
		resident: float64(after.Resident),
	}
}

func (c cost) dividedBy(count float64) cost {
	return cost{messages: c.messages / count, bytes: c.bytes / count, cpu: c.cpu / count, heap: c.heap / count, resident: c.resident / count}
}

func (m *measurement) underChanges(ctx context.Context, into *reading) error {
	before, err := m.observe(false)
	if err != nil {
		return err
	}
	for range changes {
		sent := eventlog.Now()
		acknowledged, err := m.group.change(ctx)
		if err != nil {
			return err
		}
		last, err := m.activatedAt(into.gateways)
		if err != nil {
			return err
		}
		into.acknowledged = append(into.acknowledged, acknowledged)
		into.everywhere = append(into.everywhere, time.Duration(last-sent))
	}
	after, err := m.observe(false)
	if err != nil {
		return err
	}
	into.perChange = extraBytes(before.primary, after.primary, into.primary.bytes) / changes
	spent := time.Duration(after.primary.CPU - before.primary.CPU).Seconds()
	lasted := time.Duration(after.primary.At - before.primary.At).Seconds()
	into.changeCPU = (spent - into.primary.cpu*lasted) / changes
	into.perGateway = extraBytes(before.hollow, after.hollow, into.gateway.bytes*float64(into.gateways)) / changes / float64(into.gateways)
	return nil
}

// extraBytes is what was sent and received beyond the rate at rest.
func extraBytes(before, after sample, rate float64) float64 {
	_, bytesBefore := before.traffic()
	_, bytesAfter := after.traffic()
	return bytesAfter - bytesBefore - rate*float64(after.At-before.At)/float64(time.Second)
}

// activatedAt returns when the last gateway made the newest version active.
func (m *measurement) activatedAt(gateways int) (int64, error) {
	report, err := m.hollow.ask(order{Version: m.group.version})
	if err != nil {
		return 0, err
	}
	if report.Activated != gateways {
		return 0, fmt.Errorf("version %d was acknowledged, but is active at %d of %d gateways", m.group.version, report.Activated, gateways)
	}
	return report.ActivatedAt, nil
}

func (m *measurement) inBurst(ctx context.Context, into *reading) error {
	began := time.Now()
	for range burst {
		if _, err := m.group.change(ctx); err != nil {
			return err
		}
	}
	into.burst = time.Since(began)
	return nil
}

// afterRestarts loses gateways all at once, as with a rack, and starts them again.
func (m *measurement) afterRestarts(ctx context.Context, into *reading) error {
	began := time.Now()
	if _, err := m.hollow.ask(order{Restart: restarts}); err != nil {
		return err
	}
	changed := make(chan error, 1)
	go func() {
		_, err := m.group.change(ctx)
		into.restarted = time.Since(began)
		changed <- err
	}()
	err := awaitLeases(ctx, m.hollow, into.gateways)
	into.restart = time.Since(began)
	return errors.Join(err, <-changed)
}

func (m *measurement) afterLoss(ctx context.Context, into *reading) error {
	took, err := m.group.killPrimary(ctx, m.primary)
	into.failover = took
	if err != nil {
		return err
	}
	return awaitLeases(ctx, m.hollow, into.gateways)
}

func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
