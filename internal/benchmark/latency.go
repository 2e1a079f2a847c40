package benchmark

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
)

// Load and target of the latency measurement.
const (
	arrivalRate = 65 // requests per second
	arrivalSeed = 65
	// streamTokens is the length of a stream in events; such a stream takes about 0.7 s.
	streamTokens = 60
	// targetAdded is the target for the 99th percentile of the added latency.
	targetAdded = 2 * time.Millisecond
)

// callerTimes holds the times at which a caller sent a request and read its events.
type callerTimes struct {
	sent time.Time
	read []time.Time
}

// path is one route from callers to replicas, directly or through the gateway, with the
// times of the requests sent on it.
type path struct {
	label    string
	caller   *caller
	observer *observer // records the times at the replicas
	send     func(ctx context.Context, id string, stream bool) ([]time.Time, error)

	mutex    sync.Mutex
	requests map[string]callerTimes // by request id
	failures error
}

// latencies holds the callers' latencies, reduced by the time that the replica itself
// took.
type latencies struct {
	first *quantiles // of the first event
	total *quantiles // of the complete response
	event *quantiles // from the replica's write of an event until the caller read it
}

// measureLatency sends requests with the same arrival times through the gateway and, at
// the same time, directly to another replica of the same kind.
func measureLatency(o *Options) ([]Table, error) {
	observer := newObserver()
	s, err := newSite(o, observer, "gateway-latency")
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.close() }()
	var tables []Table
	for _, stream := range []bool{true, false} {
		table, err := latencyTable(o, s, observer, stream)
		if err != nil {
			return tables, err
		}
		tables = append(tables, table)
	}
	return tables, nil
}

func latencyTable(o *Options, s *site, observer *observer, stream bool) (Table, error) {
	table := Table{
		Title:   fmt.Sprintf("Added latency at %d streams/s", arrivalRate),
		Note:    fmt.Sprintf("Poisson arrivals, every stream %d events of a replica that decodes in steps of 12 ms; the same arrivals go through the gateway and, at the same time, straight to another replica. Each figure is the caller's time less the time that the replica itself took for this request, so that it holds the two ends' HTTP and the way between them. Added is the difference of the quantiles.", streamTokens),
		Columns: []string{"way", "streams", "first event p50 ms", "p99 ms", "whole stream p50 ms", "p99 ms", "each event p50 ms", "p99 ms"},
	}
	if !stream {
		table.Title = fmt.Sprintf("Added latency at %d short requests/s", arrivalRate)
		table.Note = "As above, with whole answers of a web service."
		table.Columns = []string{"way", "requests", "whole answer p50 ms", "p99 ms"}
	}
	direct, err := newDirectPath(stream)
	if err != nil {
		return table, err
	}
	defer direct.stop()
	through := newGatewayPath(s.caller, observer)
	late := newTimerLateness()
	sendArrivals(fullOrShort(o, 20*time.Second, 1500*time.Millisecond), stream, through, &direct.path)
	table.Note += fmt.Sprintf(" Meanwhile a timer of the measuring process fired up to %s ms late in 99 of 100 cases, because no core was free.", milliseconds(late.stop().percentile(99)))
	gatewayLatencies, directLatencies := through.latencies(), direct.latencies()
	if err := errors.Join(through.failures, direct.failures); err != nil {
		return table, err
	}
	table.Rows = append(table.Rows, directLatencies.row("direct", stream), gatewayLatencies.row("gateway", stream))
	table.add(addedRow(gatewayLatencies, directLatencies, stream)...)
	return table, nil
}

// directPath is the direct path to a replica that no gateway uses.
type directPath struct {
	path
	replica *replica
}

func newDirectPath(stream bool) (*directPath, error) {
	service, model, kind := webService, webName, emulator.KindWeb
	if stream {
		service, model, kind = modelService, modelName, emulator.KindModel
	}
	observer := newObserver()
	replica, err := startReplica("direct", service, kind, observer)
	if err != nil {
		return nil, err
	}
	d := &directPath{replica: replica}
	d.path = path{label: "direct", caller: newCaller(replica.address), observer: observer, requests: make(map[string]callerTimes)}
	d.send = func(ctx context.Context, id string, stream bool) ([]time.Time, error) {
		if stream {
			return d.caller.stream(ctx, api.PathReplicaGenerate, replicaRequest(id, model, true, streamTokens), true)
		}
		err := d.caller.send(ctx, api.PathReplicaGenerate, replicaRequest(id, model, false, 1))
		return []time.Time{time.Now()}, err
	}
	return d, nil
}

func (d *directPath) stop() {
	d.caller.close()
	d.replica.stop()
}

// newGatewayPath returns the path through the gateway that the given caller uses.
func newGatewayPath(through *caller, observer *observer) *path {
	p := &path{label: "gateway", caller: through, observer: observer, requests: make(map[string]callerTimes)}
	p.send = func(ctx context.Context, id string, stream bool) ([]time.Time, error) {
		if stream {
			return through.stream(ctx, api.PathRequests, gatewayRequest(id, modelName, true, streamTokens), true)
		}
		err := through.send(ctx, api.PathRequests, gatewayRequest(id, webName, false, 1))
		return []time.Time{time.Now()}, err
	}
	return p
}

// sendArrivals sends requests on all paths at the same random arrival times for a duration,
// and waits for all responses.
func sendArrivals(duration time.Duration, stream bool, paths ...*path) {
	ctx, cancel := context.WithTimeout(context.Background(), duration+awaitTimeout)
	defer cancel()
	random := rand.New(rand.NewPCG(arrivalSeed, 0))
	var sending sync.WaitGroup
	next := time.Duration(0)
	started := time.Now()
	for number := 0; ; number++ {
		next += time.Duration(random.ExpFloat64() / arrivalRate * float64(time.Second))
		if next >= duration {
			break
		}
		time.Sleep(next - time.Since(started))
		for _, path := range paths {
			sending.Go(func() { path.request(ctx, fmt.Sprintf("latency-%t-%d", stream, number), stream) })
		}
	}
	sending.Wait()
}

// request sends one request and records its times or its failure.
func (p *path) request(ctx context.Context, id string, stream bool) {
	sent := time.Now()
	read, err := p.send(ctx, id, stream)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.failures = errors.Join(p.failures, fmt.Errorf("%s: %s: %w", p.label, id, err))
		return
	}
	p.requests[id] = callerTimes{sent: sent, read: read}
}

// latencies computes the latencies from the times of callers and replicas. A request whose
// events were not all read is recorded as a failure.
func (p *path) latencies() latencies {
	result := latencies{first: newQuantiles(), total: newQuantiles(), event: newQuantiles()}
	replicas := p.observer.timesByRequest()
	for id, called := range p.requests {
		worked, found := replicas[id]
		if !found || len(worked.written) != len(called.read) || len(called.read) == 0 {
			p.failures = errors.Join(p.failures, fmt.Errorf("%s: %s: caller read %d events, replica wrote %d", p.label, id, len(called.read), len(worked.written)))
			continue
		}
		last := len(called.read) - 1
		result.first.add(called.read[0].Sub(called.sent) - worked.written[0].Sub(worked.started))
		result.total.add(called.read[last].Sub(called.sent) - worked.written[last].Sub(worked.started))
		for i, read := range called.read {
			result.event.add(read.Sub(worked.written[i]))
		}
	}
	return result
}

// columns returns the histograms shown in the table of streams or in that of other
// requests.
func (l latencies) columns(stream bool) []*quantiles {
	if !stream {
		return []*quantiles{l.total}
	}
	return []*quantiles{l.first, l.total, l.event}
}

func (l latencies) row(label string, stream bool) []string {
	cells := []string{label, fmt.Sprint(l.total.count())}
	for _, column := range l.columns(stream) {
		cells = append(cells, milliseconds(column.percentile(50)), milliseconds(column.percentile(99)))
	}
	return cells
}

// addedRow returns the table row with the differences between the quantiles of two paths.
func addedRow(through, direct latencies, stream bool) []string {
	cells := []string{"added", ""}
	baselines := direct.columns(stream)
	for i, column := range through.columns(stream) {
		added := column.percentile(99) - baselines[i].percentile(99)
		cells = append(cells, milliseconds(column.percentile(50)-baselines[i].percentile(50)),
			fmt.Sprintf("%s (target below %s)", milliseconds(added), milliseconds(targetAdded)))
	}
	return cells
}

// latenessInterval is the duration of the timers whose lateness is measured.
const latenessInterval = 2 * time.Millisecond

// timerLateness measures how late timers fire, as an indication of how busy the machine is.
type timerLateness struct {
	stopping chan struct{}
	result   chan *quantiles
}

func newTimerLateness() *timerLateness {
	l := &timerLateness{stopping: make(chan struct{}), result: make(chan *quantiles)}
	go l.run()
	return l
}

func (l *timerLateness) run() {
	measured := newQuantiles()
	for {
		due := time.Now().Add(latenessInterval)
		select {
		case <-time.After(latenessInterval):
			measured.add(time.Since(due))
		case <-l.stopping:
			l.result <- measured
			return
		}
	}
}

// stop ends the measurement and returns its result.
func (l *timerLateness) stop() *quantiles {
	close(l.stopping)
	return <-l.result
}
