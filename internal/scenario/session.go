package scenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/fleet/caller"
	"github.com/deckpulley/deckpulley/internal/fleet/operator"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Patience with a fleet at its start and end.
const (
	startPatience  = 60 * time.Second
	listPatience   = 20 * time.Second
	answerPatience = 25 * time.Second
	orderPatience  = 30 * time.Second
	readPatience   = 20 * time.Second
	stepPatience   = 30 * time.Second
)

// session is one fleet under load with its operators.
type session struct {
	options   Options
	fleet     *fleet.Fleet
	profile   *workload.Profile
	pool      *caller.Pool
	operators []*operator.Operator
	logs      []*eventlog.Writer
	progress  func(format string, arguments ...any)

	loadMutex sync.Mutex
	loads     sync.WaitGroup
	stopLoad  context.CancelFunc // of the ordinary load
	stopCrowd context.CancelFunc // of the load beside it
	loadCount int

	// configuring keeps configurations in order; version is the newest known.
	configuring sync.Mutex
	version     uint64
	routes      int
	orderMutex  sync.Mutex
	orders      []operator.Operation
}

// operatorCount is two, so that they can race.
const operatorCount = 2

func openSession(ctx context.Context, options Options, progress func(string, ...any)) (*session, error) {
	profile, err := options.Deployment.Profile()
	if err != nil {
		return nil, err
	}
	of := options.Scenario
	running, err := fleet.New(fleet.Options{
		Deployment: options.Deployment, Programs: options.Programs, Folder: options.Folder, Seed: options.Seed,
		Relays: of.Relays || of.ReplicaRelays, ReplicaRelays: of.ReplicaRelays, Cold: of.Cold, LogLevel: options.LogLevel,
		Environment: options.Environment,
	})
	if err != nil {
		return nil, err
	}
	s := &session{options: options, fleet: running, profile: profile.Scale(of.Load), progress: progress}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// start brings the fleet to the point where the load may begin.
func (s *session) start(ctx context.Context) error {
	if err := s.openClients(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	if err := s.fleet.StartAll(); err != nil {
		return err
	}
	if err := s.fleet.WaitReplicas(ctx); err != nil {
		return err
	}
	if err := s.fleet.WaitLive(ctx); err != nil {
		return err
	}
	order := s.operators[0].Configuration(0, s.options.Deployment.Document)
	answer, err := s.send(ctx, s.operators[0], order)
	if err != nil {
		return fmt.Errorf("sending the first configuration: %w", err)
	}
	if !answer.Accepted {
		return fmt.Errorf("the first configuration was refused: %s: %s", answer.Code, answer.Message)
	}
	s.version = answer.Version
	if err := s.fleet.StartPlatform(); err != nil {
		return err
	}
	if err := s.fleet.WaitReady(ctx); err != nil {
		return err
	}
	s.waitListed(ctx)
	s.fleet.Log.Write(eventlog.Event{Kind: eventlog.FleetReady})
	s.progress("fleet ready, configuration version %d", s.version)
	return nil
}

// waitListed waits until the registry holds a condition of every replica that
// runs. What is missing after a while shows in the load.
func (s *session) waitListed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listPatience)
	defer cancel()
	for ctx.Err() == nil {
		answer, err := s.operators[0].ReadReplicas(ctx)
		if err == nil && len(answer.Replicas) == len(s.fleet.Replicas()) {
			known := 0
			for _, replica := range answer.Replicas {
				if replica.Condition == "up" || replica.Condition == "cold" {
					known++
				}
			}
			if known == len(answer.Replicas) {
				return
			}
		}
		sleep(ctx, conditionStep)
	}
	s.progress("not every replica has a condition in the registry")
}

func (s *session) openClients() error {
	for number := 1; number <= operatorCount; number++ {
		name := fmt.Sprintf("operator-%d", number)
		log, err := s.openLog(name)
		if err != nil {
			return err
		}
		rotation := number - 1
		addresses := func() []string { return s.operatorAddresses(rotation) }
		s.operators = append(s.operators, operator.New(name, s.fleet.Token, addresses, log))
	}
	log, err := s.openLog("callers")
	if err != nil {
		return err
	}
	gateways := map[string][]string{}
	for _, node := range s.fleet.Gateways() {
		gateways[node.Region] = append(gateways[node.Region], node.CallerAddress)
	}
	var regions []string
	for _, plan := range s.options.Deployment.Regions {
		regions = append(regions, plan.Name)
	}
	s.pool = caller.New(caller.Config{
		Gateways: gateways, Regions: regions, Log: log, Seed: s.options.Seed, Ratios: caller.DefaultRatios(),
	})
	return nil
}

func (s *session) openLog(name string) (*eventlog.Writer, error) {
	log, err := s.fleet.OpenLog(name)
	if err != nil {
		return nil, err
	}
	s.logs = append(s.logs, log)
	return log, nil
}

// operatorAddresses begins with another node for each operator.
func (s *session) operatorAddresses(rotation int) []string {
	nodes := s.fleet.Controls()
	var list []string
	for i := range nodes {
		list = append(list, nodes[(i+rotation)%len(nodes)].OperatorAddress)
	}
	return list
}

// setLoad replaces the ordinary load.
func (s *session) setLoad(ctx context.Context, profile *workload.Profile, phases workload.Scenario) {
	s.loadMutex.Lock()
	defer s.loadMutex.Unlock()
	if s.stopLoad != nil {
		s.stopLoad()
	}
	s.stopLoad = s.beginLoad(ctx, profile, phases)
}

// beginLoad is called with the lock held.
func (s *session) beginLoad(ctx context.Context, profile *workload.Profile, phases workload.Scenario) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	s.loadCount++
	generator := workload.New(profile, phases, s.options.Seed, fmt.Sprintf("load%d", s.loadCount))
	s.loads.Add(1)
	go func() {
		defer s.loads.Done()
		s.pool.Generate(ctx, generator)
	}()
	return cancel
}

// crowd adds load beside the ordinary one, up to factor times it.
func (s *session) crowd(ctx context.Context, factor float64) {
	s.loadMutex.Lock()
	defer s.loadMutex.Unlock()
	if s.stopCrowd != nil {
		s.stopCrowd()
	}
	s.stopCrowd = s.beginLoad(ctx, s.profile.Scale(factor-1), nil)
}

func (s *session) calm() {
	s.loadMutex.Lock()
	defer s.loadMutex.Unlock()
	if s.stopCrowd != nil {
		s.stopCrowd()
		s.stopCrowd = nil
	}
}

// endLoad stops the arrivals and waits for the answers.
func (s *session) endLoad() {
	s.calm()
	s.loadMutex.Lock()
	if s.stopLoad != nil {
		s.stopLoad()
	}
	s.loadMutex.Unlock()
	s.loads.Wait()
	if !s.pool.Wait(answerPatience) {
		s.progress("some requests had no answer %v after the load", answerPatience)
	}
}

// send sends an order and remembers it for resends.
func (s *session) send(ctx context.Context, by *operator.Operator, order operator.Operation) (operator.Answer, error) {
	s.remember(order)
	ctx, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	return by.Send(ctx, order)
}

func (s *session) remember(order operator.Operation) {
	s.orderMutex.Lock()
	defer s.orderMutex.Unlock()
	s.orders = append(s.orders, order)
}

// read reads the state back, for the checker.
func (s *session) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	if _, err := s.operators[0].ReadConfiguration(ctx); err != nil {
		return err
	}
	_, err := s.operators[0].ReadZones(ctx)
	return err
}

// close ends the fleet and its logs. It may be called again.
func (s *session) close() error {
	all := []error{s.fleet.Close()}
	for _, log := range s.logs {
		all = append(all, log.Close())
	}
	s.logs = nil
	return errors.Join(all...)
}

// conditionStep is the pause between two looks at a condition.
const conditionStep = 100 * time.Millisecond

func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
