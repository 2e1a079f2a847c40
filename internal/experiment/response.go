package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/workload"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routing"
)

// Timing of a response experiment.
const (
	responseBegin  = 30 * time.Second // the disturbance begins
	responseEnd    = 45 * time.Second // and ends
	responseLength = 75 * time.Second
	sampleInterval = 250 * time.Millisecond
	// smoothing is the number of samples that a judged value is the mean of.
	smoothing = 4
	// tolerance is how far above its set point a value counts as settled.
	tolerance = 0.1
	// membershipDelay is when a lost region's gateways are known to be down.
	membershipDelay = 3 * time.Second
	// undisturbed is the time before the disturbance that Before is the mean of.
	undisturbed = 10 * time.Second
)

// Disturbance names a response experiment.
type Disturbance string

const (
	// DisturbStep triples the load for a while.
	DisturbStep Disturbance = "step"
	// DisturbSwing swings between long prompts and long answers.
	DisturbSwing Disturbance = "swing"
	// DisturbCold restarts the largest region's replicas cold.
	DisturbCold Disturbance = "cold"
	// DisturbLostRegion cuts the largest region off for a while.
	DisturbLostRegion Disturbance = "lost-region"
)

// Disturbances lists the response experiments.
func Disturbances() []Disturbance {
	return []Disturbance{DisturbStep, DisturbSwing, DisturbCold, DisturbLostRegion}
}

// Sample is the state at one time.
type Sample struct {
	At time.Duration
	// Utilization by region, as its gateways measure it, 1 is full.
	Utilization map[string]float64
	// FirstTokenP95 is over the first tokens since the last sample; 0 if none.
	FirstTokenP95 time.Duration
	// Answers, Refusals, Failures and Spills are per second.
	Answers, Refusals, Failures, Spills float64
	// Cold counts cold replicas; ColdInFlight and ColdLimit are the most requests
	// on one of them and what its feeder then allows.
	Cold, ColdInFlight, ColdLimit int
}

// Response is the outcome of a response experiment.
type Response struct {
	Deployment  string
	Disturbance Disturbance
	Limits      catalog.Limits
	Regions     []string
	Samples     []Sample
	// Answers, Refusals, Failures and Spills are over the whole run.
	Answers, Refusals, Failures, Spills int
	Codes                               map[api.Code]int
}

// Respond runs a deployment's routers in real time through a disturbance. It
// takes responseLength.
func Respond(ctx context.Context, deployment string, disturbance Disturbance, seed uint64) (*Response, error) {
	profile, err := workload.ByName(deployment)
	if err != nil {
		return nil, err
	}
	fleet, err := newLive(profile)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	ctx, cancel := context.WithTimeout(ctx, responseLength)
	defer cancel()
	contents, err := catalog.Read(fleet.table.View())
	if err != nil {
		return nil, fmt.Errorf("reading the table: %w", err)
	}
	response := &Response{Deployment: deployment, Disturbance: disturbance, Limits: contents.Limits()}
	for _, region := range profile.Regions {
		response.Regions = append(response.Regions, region.Name)
	}
	var group sync.WaitGroup
	group.Go(func() { fleet.run(ctx) })
	group.Go(func() { fleet.callers(ctx, scenarioOf(disturbance), seed) })
	group.Go(func() { fleet.disturb(ctx, disturbance) })
	start := time.Now()
	every(ctx, sampleInterval, func() {
		response.Samples = append(response.Samples, fleet.sample(time.Since(start)))
	})
	group.Wait()
	total, err := fleet.meter.sum()
	response.Answers, response.Refusals = total.answers, total.refusals
	response.Failures, response.Spills, response.Codes = total.failures, total.spills, total.codes
	return response, err
}

// scenarioOf is the part of a disturbance that the callers make.
func scenarioOf(disturbance Disturbance) workload.Scenario {
	switch disturbance {
	case DisturbStep:
		return workload.Crowd(responseBegin, responseEnd-responseBegin, 3)
	case DisturbSwing:
		return workload.Swing(responseBegin, (responseEnd-responseBegin)/2, responseEnd, 3)
	default:
		return nil
	}
}

// disturb makes the part of a disturbance that the replicas make.
func (l *live) disturb(ctx context.Context, disturbance Disturbance) {
	if !pause(ctx, responseBegin) {
		return
	}
	region := l.profile.Regions[0]
	switch disturbance {
	case DisturbCold:
		for index := range region.ModelReplicas {
			l.startReplica(fmt.Sprintf("%s-replica-%d", region.Name, index+1), true)
		}
	case DisturbLostRegion:
		l.setLost(region.Name, true)
		pause(ctx, membershipDelay)
		l.setUp(region.Name, false)
		pause(ctx, responseEnd-responseBegin-membershipDelay)
		l.setLost(region.Name, false)
		l.setUp(region.Name, true)
	}
}

// pause waits; it reports false if ctx ended first.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// setUp writes whether a region's gateways are up.
func (l *live) setUp(region string, up bool) {
	contents, err := catalog.Read(l.table.View())
	if err != nil {
		l.meter.note(err)
		return
	}
	var changes []registry.Record
	for name, gateway := range contents.Gateways() {
		if gateway.Region == region {
			gateway.Up = up
			changes = append(changes, registry.Add(catalog.GatewayRecord(name, gateway)))
		}
	}
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := l.table.Apply(&update, nil); result.Code != registry.NoError {
		l.meter.note(fmt.Errorf("writing gateways: %v", result.Code))
	}
	if err := l.activate(); err != nil {
		l.meter.note(err)
	}
}

// callers sends the traffic until ctx ends and waits for what is under way.
func (l *live) callers(ctx context.Context, scenario workload.Scenario, seed uint64) {
	generator := workload.New(l.profile, scenario, seed, "response")
	start := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for number := uint64(0); ; number++ {
		request := generator.Next()
		if request.Generate.Class == api.ClassFetch {
			continue
		}
		if !pause(ctx, time.Until(start.Add(request.At))) {
			return
		}
		group.Go(func() { l.call(ctx, request, rand.New(rand.NewPCG(seed, number))) })
	}
}

// sample reads the routers, the replicas and the meter.
func (l *live) sample(at time.Duration) Sample {
	window := l.meter.take()
	perSecond := 1 / sampleInterval.Seconds()
	sample := Sample{
		At:            at,
		Utilization:   make(map[string]float64),
		FirstTokenP95: quantile(window.firstTokens, 0, 0.95),
		Answers:       float64(window.answers) * perSecond,
		Refusals:      float64(window.refusals) * perSecond,
		Failures:      float64(window.failures) * perSecond,
		Spills:        float64(window.spills) * perSecond,
	}
	service := l.profile.Mixes[0].Service
	for _, gateway := range l.gateways {
		for _, status := range gateway.router.Status().Services {
			if status.Service == service && !l.isLost(gateway.region) {
				sample.Utilization[gateway.region] += min(status.Utilization, mostUtilization) / gatewaysPerRegion
				l.sampleCold(&sample, status)
			}
		}
	}
	return sample
}

// mostUtilization bounds what a region without a usable replica shows.
const mostUtilization = 2

// sampleCold finds the most loaded cold replica that a gateway feeds.
func (l *live) sampleCold(sample *Sample, status routing.ServiceStatus) {
	for _, member := range status.Members {
		if !member.WarmingUp || !member.Usable {
			continue
		}
		report := l.replica(member.Replica).Report()
		sample.Cold++
		if inFlight := report.Running + report.Queued; inFlight >= sample.ColdInFlight {
			sample.ColdInFlight = inFlight
			sample.ColdLimit = member.Limit
		}
	}
}

// Reaction is how one measured value met its set point after the disturbance.
type Reaction struct {
	Value    string
	SetPoint float64
	// Before is the mean just before the disturbance, Peak the highest after it.
	Before, Peak float64
	// Overshoot is how far the peak passed the set point, relative to it; 0 if
	// it did not.
	Overshoot float64
	// Settling is the time from the disturbance until the value was last more
	// than a tenth above its set point; Settled is false if it still was at the end.
	Settling time.Duration
	Settled  bool
}

// Reactions judges each region's utilization and the first token.
func (r *Response) Reactions() []Reaction {
	reactions := make([]Reaction, 0, len(r.Regions)+1)
	for _, region := range r.Regions {
		values := r.values(func(s Sample) float64 { return s.Utilization[region] })
		reactions = append(reactions, r.react("utilization "+region, r.Limits.TargetUtilization, values))
	}
	values := r.values(func(s Sample) float64 { return 1000 * s.FirstTokenP95.Seconds() })
	return append(reactions, r.react("first token p95, ms", float64(r.Limits.FirstTokenMS), values))
}

// values are means over the last samples.
func (r *Response) values(value func(Sample) float64) []float64 {
	smoothed := make([]float64, len(r.Samples))
	for index := range r.Samples {
		first := max(0, index-smoothing+1)
		for _, sample := range r.Samples[first : index+1] {
			smoothed[index] += value(sample) / float64(index+1-first)
		}
	}
	return smoothed
}

func (r *Response) react(name string, setPoint float64, values []float64) Reaction {
	reaction := Reaction{Value: name, SetPoint: setPoint, Settled: true}
	before := 0
	for index, sample := range r.Samples {
		value := values[index]
		if sample.At < responseBegin-undisturbed {
			continue
		}
		if sample.At < responseBegin {
			reaction.Before += value
			before++
			continue
		}
		reaction.Peak = max(reaction.Peak, value)
		reaction.Settled = value <= setPoint*(1+tolerance)
		if !reaction.Settled {
			reaction.Settling = sample.At - responseBegin
		}
	}
	reaction.Before /= float64(max(1, before))
	reaction.Overshoot = max(0, reaction.Peak/setPoint-1)
	return reaction
}

// WriteResponse writes the reactions and the sums.
func WriteResponse(w io.Writer, r *Response) error {
	fmt.Fprintf(w, "%s, %s: disturbed from %v to %v of %v\n", r.Deployment, r.Disturbance, responseBegin, responseEnd, responseLength)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "value\tset point\tbefore\tpeak\tovershoot\tsettling\t")
	for _, reaction := range r.Reactions() {
		settling := fmt.Sprintf("%.1f s", reaction.Settling.Seconds())
		if !reaction.Settled {
			settling = "not settled"
		}
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.0f%%\t%s\t\n",
			reaction.Value, reaction.SetPoint, reaction.Before, reaction.Peak, 100*reaction.Overshoot, settling)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	var codes strings.Builder
	for code, count := range r.Codes {
		fmt.Fprintf(&codes, " %s %d", code, count)
	}
	_, err := fmt.Fprintf(w, "answers %d, refusals %d (%s ), failures %d, spilled %d\n",
		r.Answers, r.Refusals, codes.String(), r.Failures, r.Spills)
	return err
}
