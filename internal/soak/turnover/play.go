package turnover

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/process"
)

const (
	// readyTimeout is how long the site has to serve its first requests.
	readyTimeout = 30 * time.Second
	// settleTime is the time between the first request that every gateway serves and the
	// start of traffic.
	settleTime = 2 * time.Second
	// seedLag is the time after which a change of the control nodes shows in the seeds of
	// machines that start.
	seedLag = 3 * time.Second
)

// Options say where and with what a plan is played.
type Options struct {
	// Program is the path of the deckpulley-platform program.
	Program string
	// Folder gets the settings, logs and data of each process.
	Folder string
}

// Result is what a play showed.
type Result struct {
	Plan     Plan        `json:"plan"`
	Findings []Finding   `json:"findings"`
	Statuses map[int]int `json:"probes_by_status"`
	// Acknowledged are the times of the acknowledgements, by version minus one.
	Acknowledged []time.Duration `json:"acknowledged_ns"`
}

// Play plays a plan and judges it. The error means that it could not be played.
func Play(plan Plan, options Options) (Result, error) {
	if err := plan.Validate(); err != nil {
		return Result{}, err
	}
	s, err := newSite(plan, options)
	if err != nil {
		return Result{}, err
	}
	p := &play{site: s, operator: newOperator(s), record: &record{statuses: make(map[int]int)}}
	p.prober = &prober{
		site: s, operator: p.operator, record: p.record,
		http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	err = p.run()
	return p.result(), errors.Join(err, s.close())
}

// play is one play of a plan.
type play struct {
	site     *site
	operator *operator
	record   *record
	prober   *prober
	// core has the present control node of each zone; guarded by the record's mutex.
	core []coreMember
}

// coreMember is one machine with a control node, and when it became one of the seeds.
type coreMember struct {
	number int
	since  time.Time
}

func (p *play) run() error {
	for number, m := range p.site.running() {
		if err := m.start(); err != nil {
			return err
		}
		if m.control() != nil {
			p.core = append(p.core, coreMember{number: number})
		}
	}
	if err := p.awaitService(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	p.record.started = time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), p.record.started.Add(p.site.plan.Length))
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { p.prober.run(ctx) })
	err := p.playEvents()
	<-ctx.Done()
	running.Wait()
	p.judgeEnd()
	return err
}

// awaitService submits the first configuration and waits until each gateway serves.
func (p *play) awaitService() error {
	if err := p.operator.change(); err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for _, m := range p.site.running() {
		for attempt := 0; p.prober.send(m, 1, fmt.Sprintf("start-%s-%d", m.name, attempt)) != http.StatusOK; attempt++ {
			if time.Now().After(deadline) {
				return fmt.Errorf("turnover: %s served no request within %v of the start", m.name, readyTimeout)
			}
			time.Sleep(orderPause)
		}
	}
	return nil
}

// event is one step of a plan.
type event struct {
	at   time.Duration
	step func() error
}

// playEvents plays the steps of the plan, each in a goroutine of its own, and returns when
// all have ended.
func (p *play) playEvents() error {
	var steps sync.WaitGroup
	events := p.events()
	errs := make([]error, len(events))
	for i, next := range events {
		steps.Go(func() {
			time.Sleep(time.Until(p.record.started.Add(next.at)))
			errs[i] = next.step()
		})
	}
	steps.Wait()
	return errors.Join(errs...)
}

// events returns the steps of the plan.
func (p *play) events() []event {
	plan := p.site.plan
	var events []event
	for zone, at := range plan.Replacements {
		events = append(events, event{at: at, step: func() error { return p.replace(zone) }})
	}
	if plan.CutMachines > 0 {
		events = append(events, event{at: plan.CutAt, step: p.isolate})
	}
	if plan.SeedChange != SeedsUnchanged {
		events = append(events, event{at: plan.SeedsAt, step: p.changeSeeds})
	}
	for _, at := range plan.Changes {
		events = append(events, event{at: at, step: p.changeConfiguration})
	}
	return events
}

// replace ends the machine with the control node of a zone for good and starts its successor
// at another address.
func (p *play) replace(zone int) error {
	s := p.site
	leaving := s.machines[zone]
	p.record.disturbCore()
	if err := s.lose(leaving); err != nil {
		return err
	}
	time.Sleep(s.plan.ReplacementDelay)
	number := s.plan.Machines + zone
	successor, err := s.newMachine(number, leaving.zone, true, p.listedSeeds())
	if err != nil {
		return err
	}
	p.record.mutex.Lock()
	p.core[zone] = coreMember{number: number, since: time.Now()}
	p.record.mutex.Unlock()
	if s.plan.Isolation == FromCore || s.plan.Isolation == FromAll {
		p.isolateFrom(successor)
	}
	p.record.disturbCore()
	return s.add(successor)
}

// listedSeeds returns the seeds of a machine that starts now: changes show after seedLag.
func (p *play) listedSeeds() []string {
	p.record.mutex.Lock()
	defer p.record.mutex.Unlock()
	numbers := make([]int, 0, len(p.core))
	for zone, member := range p.core {
		if time.Since(member.since) < seedLag {
			numbers = append(numbers, zone)
			continue
		}
		numbers = append(numbers, member.number)
	}
	return p.site.seeds(numbers...)
}

// cutMachines returns the machines that the plan cuts off, which have no control node.
func (p *play) cutMachines() []*machine {
	return p.site.machines[zoneCount : zoneCount+p.site.plan.CutMachines]
}

// isolateFrom cuts the machines of the plan off from another one while their cut lasts.
func (p *play) isolateFrom(other *machine) {
	since := time.Since(p.record.started)
	plan := p.site.plan
	if since < plan.CutAt || since > plan.CutAt+plan.CutFor {
		return
	}
	for _, m := range p.cutMachines() {
		p.site.cut(m, []*machine{other}, true)
	}
}

// isolate cuts machines off, or suspends or ends their processes, and undoes that.
func (p *play) isolate() error {
	end := p.record.started.Add(p.site.plan.CutAt + p.site.plan.CutFor)
	for _, m := range p.cutMachines() {
		m.setCutUntil(end)
		if err := p.isolateMachine(m); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(end))
	for _, m := range p.cutMachines() {
		if err := p.returnMachine(m); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) isolateMachine(m *machine) error {
	s := p.site
	switch s.plan.Isolation {
	case Frozen:
		return m.each((*process.Process).Freeze)
	case Killed:
		return m.each((*process.Process).Kill)
	case FromAll:
		s.cut(m, s.running(), true)
	default:
		s.cut(m, s.controls(), true)
	}
	return nil
}

func (p *play) returnMachine(m *machine) error {
	switch p.site.plan.Isolation {
	case Frozen:
		return m.each((*process.Process).Thaw)
	case Killed:
		for _, u := range m.units {
			u.settings.Seeds, u.settings.Bootstrap = p.listedSeeds(), false
		}
		return m.start()
	default:
		p.site.cut(m, p.site.running(), false)
		return nil
	}
}

// changeSeeds lets the settings of all processes name the present control nodes.
func (p *play) changeSeeds() error {
	seeds := p.listedSeeds()
	for _, m := range p.site.running() {
		for _, u := range m.units {
			if err := u.changeSeeds(seeds, p.site.plan.SeedChange); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *play) changeConfiguration() error {
	if err := p.operator.change(); err != nil {
		p.record.report("operator", "%v", err)
	}
	return nil
}

// judgeEnd reads the configuration back.
func (p *play) judgeEnd() {
	version := p.operator.newest(time.Now())
	text, err := p.operator.readBack()
	if err != nil || text != document(version) {
		p.record.report("operator", "CONFIG: version %d is acknowledged, read back was %.60q, %v", version, text, err)
	}
	for _, m := range p.site.running() {
		for _, u := range m.units {
			if !u.process.Running() {
				p.record.report(u.name, "ended by itself: %v", u.process.ExitError())
			}
		}
	}
}

func (p *play) result() Result {
	result := Result{Plan: p.site.plan, Findings: p.record.findings, Statuses: p.record.statuses}
	for _, at := range p.operator.acknowledged {
		result.Acknowledged = append(result.Acknowledged, at.Sub(p.record.started))
	}
	return result
}
