package scenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/fleet/caller"
	"github.com/deckpulley/deckpulley/internal/fleet/operator"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

// Timeouts of a fleet and its clients.
const (
	startTimeout     = 60 * time.Second
	listedTimeout    = 20 * time.Second
	answerTimeout    = 25 * time.Second // for the requests in flight at the end
	operationTimeout = 30 * time.Second
	readTimeout      = 20 * time.Second
	stepTimeout      = 30 * time.Second
)

// session is a running fleet with its load, callers and operators.
type session struct {
	options   Options
	fleet     *fleet.Fleet
	load      *load
	operators []*operator.Operator
	logs      []*eventlog.Writer
	progress  func(format string, arguments ...any)

	// configuring serializes configuration changes. It guards version and addedRoutes.
	configuring sync.Mutex
	version     uint64 // latest known configuration version
	addedRoutes int    // number of routes added so far

	operationMutex sync.Mutex
	operations     []operator.Operation // all operations sent so far
}

// operatorCount is 2, so that two operators can send conflicting operations.
const operatorCount = 2

// openSession starts a fleet and its clients. It does not start the load.
func openSession(ctx context.Context, options Options) (*session, error) {
	profile, err := options.Deployment.Profile()
	if err != nil {
		return nil, err
	}
	scenario := options.Scenario
	prepared, err := fleet.New(fleet.Options{
		Deployment: options.Deployment, Programs: options.Programs, Folder: options.Folder, Seed: options.Seed,
		Relays: scenario.Relays || scenario.ReplicaRelays, ReplicaRelays: scenario.ReplicaRelays, Cold: scenario.Cold, LogLevel: options.LogLevel,
		Environment: options.Environment,
	})
	if err != nil {
		return nil, err
	}
	s := &session{
		options: options, fleet: prepared, progress: options.Progress,
		load: &load{profile: profile.Scale(scenario.Load), seed: options.Seed},
	}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// start prepares the fleet for the load. Gateways become ready only when they have a
// configuration and replicas, so it sends the configuration and starts the platform before it
// waits for them.
func (s *session) start(ctx context.Context) error {
	if err := s.openClients(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.startProcesses(ctx); err != nil {
		return err
	}
	if err := s.configureFirst(ctx); err != nil {
		return err
	}
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

func (s *session) startProcesses(ctx context.Context) error {
	if err := s.fleet.StartAll(); err != nil {
		return err
	}
	if err := s.fleet.WaitReplicas(ctx); err != nil {
		return err
	}
	return s.fleet.WaitLive(ctx)
}

// configureFirst sends the initial configuration of the deployment.
func (s *session) configureFirst(ctx context.Context) error {
	by := s.operators[0]
	answer, err := s.send(ctx, by, by.Configuration(0, s.options.Deployment.Document))
	if err != nil {
		return fmt.Errorf("sending the initial configuration: %w", err)
	}
	if !answer.Accepted {
		return fmt.Errorf("the initial configuration was refused: %s: %s", answer.Code, answer.Message)
	}
	s.version = answer.Version
	return nil
}

// waitListed waits until the registry lists every replica as available. After listedTimeout it
// only logs a message, because the effect of missing replicas is visible in the results of the
// load.
func (s *session) waitListed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listedTimeout)
	defer cancel()
	err := wait.Poll(ctx, conditionInterval, func() error {
		answer, err := s.operators[0].ReadReplicas(ctx)
		if err != nil {
			return err
		}
		if len(answer.Replicas) != len(s.fleet.Replicas()) || !allAvailable(answer.Replicas) {
			return errConditionNotMet
		}
		return nil
	})
	if err != nil {
		s.progress("the registry does not list every replica as available")
	}
}

// Conditions of a replica that can serve requests.
const (
	conditionUp   = "up"
	conditionCold = "cold"
)

func allAvailable(replicas []api.ReplicaStatus) bool {
	for _, replica := range replicas {
		if replica.Condition != conditionUp && replica.Condition != conditionCold {
			return false
		}
	}
	return true
}

// openClients creates the operators and the callers and opens their event logs.
func (s *session) openClients() error {
	for index := range operatorCount {
		name := fmt.Sprintf("operator-%d", index+1)
		log, err := s.openLog(name)
		if err != nil {
			return err
		}
		addresses := func() []string { return s.operatorAddresses(index) }
		s.operators = append(s.operators, operator.New(name, s.fleet.Token, addresses, log))
	}
	log, err := s.openLog("callers")
	if err != nil {
		return err
	}
	s.load.pool = caller.New(s.callerConfig(log))
	return nil
}

func (s *session) callerConfig(log *eventlog.Writer) caller.Config {
	config := caller.Config{
		Gateways: map[string][]string{}, Log: log, Seed: s.options.Seed, Ratios: caller.DefaultRatios(),
	}
	for _, node := range s.fleet.Gateways() {
		config.Gateways[node.Region] = append(config.Gateways[node.Region], node.CallerAddress)
	}
	for _, plan := range s.options.Deployment.Regions {
		config.Regions = append(config.Regions, plan.Name)
	}
	return config
}

func (s *session) openLog(name string) (*eventlog.Writer, error) {
	log, err := s.fleet.OpenLog(name)
	if err != nil {
		return nil, err
	}
	s.logs = append(s.logs, log)
	return log, nil
}

// operatorAddresses returns the operator addresses of the control nodes, starting with the node
// of the given index.
func (s *session) operatorAddresses(first int) []string {
	nodes := s.fleet.Controls()
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, nodes[(first+i)%len(nodes)].OperatorAddress)
	}
	return addresses
}

// endLoad stops the load and waits for outstanding answers.
func (s *session) endLoad() {
	if !s.load.end(answerTimeout) {
		s.progress("some requests were still unanswered %v after the end of the load", answerTimeout)
	}
}

// send sends an operation and records it, so that it can be resent later.
func (s *session) send(ctx context.Context, by *operator.Operator, operation operator.Operation) (operator.Answer, error) {
	s.recordOperation(operation)
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	return by.Send(ctx, operation)
}

func (s *session) recordOperation(operation operator.Operation) {
	s.operationMutex.Lock()
	defer s.operationMutex.Unlock()
	s.operations = append(s.operations, operation)
}

// read reads the configuration and the zones back. The checker compares them with the
// acknowledged operations.
func (s *session) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := s.operators[0].ReadConfiguration(ctx); err != nil {
		return err
	}
	_, err := s.operators[0].ReadZones(ctx)
	return err
}

// close closes the fleet and the logs. Calls after the first have no effect.
func (s *session) close() error {
	failures := []error{s.fleet.Close()}
	for _, log := range s.logs {
		failures = append(failures, log.Close())
	}
	s.logs = nil
	return errors.Join(failures...)
}

// conditionInterval is the time between two checks of a condition.
const conditionInterval = 100 * time.Millisecond
