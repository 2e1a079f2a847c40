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

// Durations and counts of the steps of one measurement.
const (
	settleDuration = 2 * time.Second // wait for the steady state
	restDuration   = 5 * time.Second // measurement without changes
	changeCount    = 10
	changesInBurst = 50
	restartCount   = 70 // gateways that fail at once
	mebibyte       = 1 << 20
)

// sizeReading is the measured cost at one number of gateways and replicas.
type sizeReading struct {
	gateways int
	replicas int

	primary  cost
	follower cost
	// gateway is the cost of the process of hollow gateways, divided by their number.
	gateway cost

	acknowledged          []time.Duration // per change, from sending to the acknowledgement
	activatedEverywhere   []time.Duration // per change, from sending until active at the last gateway
	primaryBytesPerChange float64         // bytes at the primary for one change
	gatewayBytesPerChange float64         // bytes at one gateway for one change
	primaryCPUPerChange   float64         // seconds of the primary's processor for one change
	primaryFrameRates     []kindRate      // rates of the primary's frames at rest
	leasesAfterRestart    time.Duration   // from the failure of some gateways until all have leases again
	changeAfterRestart    time.Duration   // from that failure until the next change is acknowledged
	burst                 time.Duration   // duration of changesInBurst changes, one after the other
	failover              time.Duration   // from the failure of the primary until the next change is acknowledged
}

// cost is the resource usage of one process at rest, while nothing changes; rates are
// per second.
type cost struct {
	messages float64
	bytes    float64
	cpu      float64 // fraction of one core
	heap     float64 // bytes
	resident float64 // bytes
}

// processSamples holds one sample of each measured process, taken one after the other.
type processSamples struct {
	primary  sample
	follower sample
	hollow   sample
}

// measurement holds the processes measured at one size.
type measurement struct {
	group    *group
	hollow   *process // runs all hollow gateways
	primary  int      // index of the primary's process in the group
	follower int      // index of a follower's process in the group
}

// sampleAll samples the primary, a follower and the gateways.
func (m *measurement) sampleAll(collect bool) (processSamples, error) {
	var all processSamples
	for _, one := range []struct {
		child *process
		into  *sample
	}{
		{m.group.processes[m.primary], &all.primary},
		{m.group.processes[m.follower], &all.follower},
		{m.hollow, &all.hollow},
	} {
		taken, err := one.child.execute(childCommand{Collect: collect})
		if err != nil {
			return processSamples{}, err
		}
		*one.into = taken
	}
	return all, nil
}

// measureSize runs all measurements with the given numbers of gateways and replicas.
// The order of the steps matters: the last one kills the primary.
func measureSize(ctx context.Context, gateways, replicas int) (sizeReading, error) {
	result := sizeReading{gateways: gateways, replicas: replicas}
	g, err := startGroup(ctx, replicaList(replicas))
	if err != nil {
		return result, err
	}
	defer g.stop()
	m := &measurement{group: g}
	if m.hollow, err = g.startHollowGateways(ctx, gateways); err != nil {
		return result, err
	}
	defer m.hollow.stop()
	if m.primary, err = g.primary(ctx); err != nil {
		return result, err
	}
	m.follower = (m.primary + 1) % controlCount
	for _, step := range []func(context.Context, *sizeReading) error{m.measureRest, m.measureChanges, m.measureBurst, m.measureRestarts, m.measurePrimaryLoss} {
		if err := step(ctx, &result); err != nil {
			return result, fmt.Errorf("%d gateways, %d replicas: %w", gateways, replicas, err)
		}
	}
	return result, nil
}

// measureRest measures the costs at rest, while nothing changes.
func (m *measurement) measureRest(_ context.Context, result *sizeReading) error {
	time.Sleep(settleDuration)
	before, err := m.sampleAll(true)
	if err != nil {
		return err
	}
	time.Sleep(restDuration)
	after, err := m.sampleAll(true)
	if err != nil {
		return err
	}
	result.primary = costBetween(before.primary, after.primary)
	result.follower = costBetween(before.follower, after.follower)
	result.gateway = costBetween(before.hollow, after.hollow).dividedBy(float64(result.gateways))
	result.primaryFrameRates = kindsBetween(before.primary, after.primary)
	return nil
}

// kindRate is the rate of frames of one kind, sent and received, per second.
type kindRate struct {
	kind   transport.Kind
	frames float64
	bytes  float64
}

// kindsBetween returns the frame rates between two samples, ordered by kind.
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

// costBetween returns the rates between two samples, with the memory sizes of the
// second one.
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

// measureChanges measures configuration changes. Each is sent after the previous one is
// in force.
func (m *measurement) measureChanges(ctx context.Context, result *sizeReading) error {
	before, err := m.sampleAll(false)
	if err != nil {
		return err
	}
	for range changeCount {
		sent := eventlog.Now()
		acknowledged, err := m.group.change(ctx)
		if err != nil {
			return err
		}
		last, err := m.activatedAt(result.gateways)
		if err != nil {
			return err
		}
		result.acknowledged = append(result.acknowledged, acknowledged)
		result.activatedEverywhere = append(result.activatedEverywhere, time.Duration(last-sent))
	}
	after, err := m.sampleAll(false)
	if err != nil {
		return err
	}
	result.primaryBytesPerChange = extraBytes(before.primary, after.primary, result.primary.bytes) / changeCount
	cpuSeconds := time.Duration(after.primary.CPU - before.primary.CPU).Seconds()
	elapsedSeconds := time.Duration(after.primary.At - before.primary.At).Seconds()
	result.primaryCPUPerChange = (cpuSeconds - result.primary.cpu*elapsedSeconds) / changeCount
	result.gatewayBytesPerChange = extraBytes(before.hollow, after.hollow, result.gateway.bytes*float64(result.gateways)) / changeCount / float64(result.gateways)
	return nil
}

// extraBytes returns the bytes sent and received between two samples beyond those
// expected at the rate at rest, in bytes per second.
func extraBytes(before, after sample, rate float64) float64 {
	_, bytesBefore := before.traffic()
	_, bytesAfter := after.traffic()
	return bytesAfter - bytesBefore - rate*float64(after.At-before.At)/float64(time.Second)
}

// activatedAt returns the time at which the newest version became active at the last
// gateway, in nanoseconds of eventlog.Now. It returns an error if the version is not
// active at all gateways.
func (m *measurement) activatedAt(gateways int) (int64, error) {
	current, err := m.hollow.execute(childCommand{Version: m.group.version})
	if err != nil {
		return 0, err
	}
	if current.Activated != gateways {
		return 0, fmt.Errorf("version %d was acknowledged, but is active at %d of %d gateways", m.group.version, current.Activated, gateways)
	}
	return current.ActivatedAt, nil
}

// measureBurst measures the duration of changesInBurst changes without pauses.
func (m *measurement) measureBurst(ctx context.Context, result *sizeReading) error {
	started := time.Now()
	for range changesInBurst {
		if _, err := m.group.change(ctx); err != nil {
			return err
		}
	}
	result.burst = time.Since(started)
	return nil
}

// measureRestarts measures the simultaneous failure of many gateways, as if a rack had
// lost power, and their restart. A configuration change is sent meanwhile.
func (m *measurement) measureRestarts(ctx context.Context, result *sizeReading) error {
	started := time.Now()
	if _, err := m.hollow.execute(childCommand{Restart: restartCount}); err != nil {
		return err
	}
	changed := make(chan error, 1)
	go func() {
		_, err := m.group.change(ctx)
		result.changeAfterRestart = time.Since(started)
		changed <- err
	}()
	err := awaitLeases(ctx, m.hollow, result.gateways)
	result.leasesAfterRestart = time.Since(started)
	return errors.Join(err, <-changed)
}

// measurePrimaryLoss measures the failover after the primary is killed. The killed
// process is not restarted.
func (m *measurement) measurePrimaryLoss(ctx context.Context, result *sizeReading) error {
	elapsed, err := m.group.killPrimary(ctx, m.primary)
	result.failover = elapsed
	if err != nil {
		return err
	}
	return awaitLeases(ctx, m.hollow, result.gateways)
}

// median returns the upper median of the durations, of which there must be at least
// one.
func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
