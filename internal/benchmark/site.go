package benchmark

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/peer"
)

// siteDocument is the configuration of a site. Its concurrency limits are far above the
// measured load.
const siteDocument = `
regions:
  north: {zones: [north-1], capacity: 8}
services:
  explain: {kind: model, max_concurrency: 256}
  snippets: {kind: web, max_concurrency: 256}
routes:
  explain-long: {service: explain, class: long}
  snippet: {service: snippets, class: fetch}
limits:
  queue_length: 1024
  first_token_ms: 5000
`

// replicasPerService is the number of stand-in replicas of each service.
const replicasPerService = 4

// warmUpCount is the number of consecutive rounds of warm-up requests that must succeed
// before a measurement.
const warmUpCount = 50

// site is a fleet of one region: a control node and stand-in replicas in this process, and
// a gateway in a worker.
type site struct {
	group    *group
	replicas []*replica
	gateway  *worker
	caller   *caller
}

// newSite starts a site and waits until its gateway relays requests. observer records the
// times at the replicas and may be nil. profile names the CPU profile of the gateway. The
// environment entries are added to the environment of the gateway's process. The caller
// must call close.
func newSite(o *Options, observer *observer, profile string, environment ...string) (*site, error) {
	s := new(site)
	if err := s.open(o, observer, profile, environment); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *site) open(o *Options, observer *observer, profile string, environment []string) error {
	var err error
	if s.group, err = newGroup(1, 0, o.Logger); err != nil {
		return err
	}
	if err := s.startReplicas(observer); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	config := s.group.workerConfig(1)
	config.Verbose = o.Logger.Enabled(context.Background(), slog.LevelWarn)
	if config.Profile, err = o.profilePath(profile); err != nil {
		return err
	}
	if s.gateway, err = o.startWorker(WorkerGateway, config, environment...); err != nil {
		return err
	}
	status, err := s.gateway.execute(commandStatus)
	if err != nil {
		return err
	}
	s.caller = newCaller(status.Address)
	return s.warmUp()
}

func (s *site) startReplicas(observer *observer) error {
	for i := range replicasPerService {
		model, err := startReplica(fmt.Sprintf("explain-%d", i), modelService, emulator.KindModel, observer)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, model)
		web, err := startReplica(fmt.Sprintf("snippets-%d", i), webService, emulator.KindWeb, observer)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, web)
	}
	return nil
}

// configure applies the configuration and the list of replicas, and waits until both are
// in force.
func (s *site) configure() error {
	configuration := api.ConfigurationOperation{OperationID: "configuration", Document: siteDocument}
	if _, err := s.group.applyOperation(peer.OperationRequest{Configuration: &configuration}); err != nil {
		return err
	}
	var list api.ReplicaList
	for _, replica := range s.replicas {
		list.Replicas = append(list.Replicas, api.ReplicaEntry{ID: replica.id, Service: replica.service, Zone: "north-1", Address: replica.address})
	}
	_, err := s.group.applyOperation(peer.OperationRequest{Replicas: &list})
	return err
}

// warmUp sends rounds of one request to each service until warmUpCount consecutive rounds
// have succeeded.
func (s *site) warmUp() error {
	answered, number := 0, 0
	var last error
	err := await("consecutive answers through the gateway", 10*time.Millisecond, func() bool {
		number++
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		last = s.caller.send(ctx, api.PathRequests, gatewayRequest(fmt.Sprintf("warm-%d", number), webName, false, 1))
		if last == nil {
			_, last = s.caller.stream(ctx, api.PathRequests, gatewayRequest(fmt.Sprintf("warm-stream-%d", number), modelName, true, 1), false)
		}
		if last != nil {
			answered = 0
			return false
		}
		answered++
		return answered >= warmUpCount
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return nil
}

func (s *site) close() error {
	var err error
	if s.gateway != nil {
		err = s.gateway.stop()
	}
	if s.caller != nil {
		s.caller.close()
	}
	for _, replica := range s.replicas {
		replica.stop()
	}
	if s.group != nil {
		s.group.close()
	}
	return err
}
