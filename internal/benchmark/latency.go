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

// The load of the latency measurement.
const (
	arrivalRate = 65 // requests a second
	arrivalSeed = 65
	// streamTokens is the length of an answer in events: about 0.7 s.
	streamTokens = 60
	// targetAdded is the aim for the 99th percentile of the added latency.
	targetAdded = 2 * time.Millisecond
)

// callerNotes say when a caller sent a request and read its events.
type callerNotes struct {
	sent time.Time
	read []time.Time
}

// path is one way to the replicas, with what was measured on it.
type path struct {
	label  string
	caller *caller
	watch  *observer
	send   func(ctx context.Context, id string, whole bool) ([]time.Time, error)

	mutex    sync.Mutex
	notes    map[string]callerNotes
	failures error
}

// times are the parts of the callers' times that were not the replica's.
type times struct {
	first, total, event *quantiles
}

// measureLatency sends the same arrivals through the gateway and straight to
// other replicas of the same kind, at the same time.
func measureLatency(o *Options) ([]Table, error) {
	watch := newObserver()
	s, err := newSite(o, watch, "gateway-latency")
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.close() }()
	var tables []Table
	for _, stream := range []bool{true, false} {
		table, err := latencyTable(o, s, watch, stream)
		if err != nil {
			return tables, err
		}
		tables = append(tables, table)
	}
	return tables, nil
}

func latencyTable(o *Options, s *site, watch *observer, stream bool) (Table, error) {
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
	through := newGatewayPath(s.caller, watch)
	late := newLateness()
	arrive(pick(o, 20*time.Second, 1500*time.Millisecond), stream, through, &direct.path)
	table.Note += fmt.Sprintf(" Meanwhile a timer of the measuring process fired up to %s ms late in 99 of 100 cases, for want of a core.", milliseconds(late.stop().at(99)))
	gatewayTimes, directTimes := through.times(), direct.times()
	if err := errors.Join(through.failures, direct.failures); err != nil {
		return table, err
	}
	table.Rows = append(table.Rows, directTimes.row("direct", stream), gatewayTimes.row("gateway", stream))
	table.add(addedRow(gatewayTimes, directTimes, stream)...)
	return table, nil
}

// directPath leads to a replica that no gateway knows.
type directPath struct {
	path
	replica *replica
}

func newDirectPath(stream bool) (*directPath, error) {
	service, model, kind := webService, webName, emulator.KindWeb
	if stream {
		service, model, kind = modelService, modelName, emulator.KindModel
	}
	watch := newObserver()
	replica, err := startReplica("direct", service, kind, watch)
	if err != nil {
		return nil, err
	}
	d := &directPath{replica: replica}
	d.path = path{label: "direct", caller: newCaller(replica.address), watch: watch, notes: make(map[string]callerNotes)}
	d.send = func(ctx context.Context, id string, stream bool) ([]time.Time, error) {
		if stream {
			return d.caller.stream(ctx, api.PathReplicaGenerate, directQuestion(id, model, true, streamTokens), true)
		}
		err := d.caller.ask(ctx, api.PathReplicaGenerate, directQuestion(id, model, false, 1))
		return []time.Time{time.Now()}, err
	}
	return d, nil
}

func (d *directPath) stop() {
	d.caller.close()
	d.replica.stop()
}

func newGatewayPath(through *caller, watch *observer) *path {
	p := &path{label: "gateway", caller: through, watch: watch, notes: make(map[string]callerNotes)}
	p.send = func(ctx context.Context, id string, stream bool) ([]time.Time, error) {
		if stream {
			return through.stream(ctx, api.PathRequests, question(id, modelName, true, streamTokens), true)
		}
		err := through.ask(ctx, api.PathRequests, question(id, webName, false, 1))
		return []time.Time{time.Now()}, err
	}
	return p
}

// arrive sends requests on all paths at the same random moments and waits for
// their ends.
func arrive(length time.Duration, stream bool, paths ...*path) {
	ctx, cancel := context.WithTimeout(context.Background(), length+patience)
	defer cancel()
	random := rand.New(rand.NewPCG(arrivalSeed, 0))
	var sending sync.WaitGroup
	next := time.Duration(0)
	started := time.Now()
	for number := 0; ; number++ {
		next += time.Duration(random.ExpFloat64() / arrivalRate * float64(time.Second))
		if next >= length {
			break
		}
		time.Sleep(next - time.Since(started))
		for _, path := range paths {
			sending.Go(func() { path.one(ctx, fmt.Sprintf("latency-%t-%d", stream, number), stream) })
		}
	}
	sending.Wait()
}

func (p *path) one(ctx context.Context, id string, stream bool) {
	sent := time.Now()
	read, err := p.send(ctx, id, stream)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.failures = errors.Join(p.failures, fmt.Errorf("%s: %s: %w", p.label, id, err))
		return
	}
	p.notes[id] = callerNotes{sent: sent, read: read}
}

// times joins what the callers and the replicas noted.
func (p *path) times() times {
	result := times{first: newQuantiles(), total: newQuantiles(), event: newQuantiles()}
	replicas := p.watch.all()
	for id, called := range p.notes {
		worked, known := replicas[id]
		if !known || len(worked.written) != len(called.read) || len(called.read) == 0 {
			p.failures = errors.Join(p.failures, fmt.Errorf("%s: %s: %d events read, %d written", p.label, id, len(called.read), len(worked.written)))
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

func (t times) columns(stream bool) []*quantiles {
	if !stream {
		return []*quantiles{t.total}
	}
	return []*quantiles{t.first, t.total, t.event}
}

func (t times) row(label string, stream bool) []string {
	cells := []string{label, fmt.Sprint(t.total.count())}
	for _, column := range t.columns(stream) {
		cells = append(cells, milliseconds(column.at(50)), milliseconds(column.at(99)))
	}
	return cells
}

func addedRow(through, direct times, stream bool) []string {
	cells := []string{"added", ""}
	baselines := direct.columns(stream)
	for i, column := range through.columns(stream) {
		added := column.at(99) - baselines[i].at(99)
		cells = append(cells, milliseconds(column.at(50)-baselines[i].at(50)),
			fmt.Sprintf("%s (target below %s)", milliseconds(added), milliseconds(targetAdded)))
	}
	return cells
}

// latenessInterval is the time between two looks at how late timers fire.
const latenessInterval = 2 * time.Millisecond

// lateness measures how late timers fire, to show how busy the machine is.
type lateness struct {
	ended chan struct{}
	found chan *quantiles
}

func newLateness() *lateness {
	l := &lateness{ended: make(chan struct{}), found: make(chan *quantiles)}
	go l.run()
	return l
}

func (l *lateness) run() {
	found := newQuantiles()
	for {
		due := time.Now().Add(latenessInterval)
		select {
		case <-time.After(latenessInterval):
			found.add(time.Since(due))
		case <-l.ended:
			l.found <- found
			return
		}
	}
}

// stop ends the measurement and returns what it found.
func (l *lateness) stop() *quantiles {
	close(l.ended)
	return <-l.found
}
