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

// siteDocument is the configuration of one region. Concurrency is far above
// what the measurements bring.
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

// replicasPerService is the number of stand-ins of each service.
const replicasPerService = 4

// site is one region: a control node, stand-ins, and a gateway in a child.
type site struct {
	group    *group
	replicas []*replica
	child    *worker
	caller   *caller
}

// newSite starts a region and waits until its gateway answers. The environment
// entries are for the gateway's process.
func newSite(o *Options, watch *observer, profile string, environment ...string) (*site, error) {
	s := new(site)
	if err := s.open(o, watch, profile, environment); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *site) open(o *Options, watch *observer, profile string, environment []string) error {
	var err error
	if s.group, err = newGroup(1, 0, o.Logger); err != nil {
		return err
	}
	if err := s.startReplicas(watch); err != nil {
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
	if s.child, err = o.startWorker(WorkerGateway, config, environment...); err != nil {
		return err
	}
	status, err := s.child.ask(commandStatus)
	if err != nil {
		return err
	}
	s.caller = newCaller(status.Address)
	return s.warmUp()
}

func (s *site) startReplicas(watch *observer) error {
	for i := range replicasPerService {
		model, err := startReplica(fmt.Sprintf("explain-%d", i), modelService, emulator.KindModel, watch)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, model)
		web, err := startReplica(fmt.Sprintf("snippets-%d", i), webService, emulator.KindWeb, watch)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, web)
	}
	return nil
}

// configure sends the configuration and the list of replicas.
func (s *site) configure() error {
	order := api.ConfigurationOperation{OperationID: "configuration", Document: siteDocument}
	if _, err := s.group.order(peer.OperationRequest{Configuration: &order}); err != nil {
		return err
	}
	var list api.ReplicaList
	for _, replica := range s.replicas {
		list.Replicas = append(list.Replicas, api.ReplicaEntry{ID: replica.id, Service: replica.service, Zone: "north-1", Address: replica.address})
	}
	_, err := s.group.order(peer.OperationRequest{Replicas: &list})
	return err
}

// warmUp waits until requests of both services are answered again and again.
func (s *site) warmUp() error {
	const wanted = 50
	answered, number := 0, 0
	var last error
	err := await("answers through the gateway", 10*time.Millisecond, func() bool {
		number++
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		last = s.caller.ask(ctx, api.PathRequests, question(fmt.Sprintf("warm-%d", number), webName, false, 1))
		if last == nil {
			_, last = s.caller.stream(ctx, api.PathRequests, question(fmt.Sprintf("warm-stream-%d", number), modelName, true, 1), false)
		}
		if last != nil {
			answered = 0
			return false
		}
		answered++
		return answered >= wanted
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return nil
}

func (s *site) close() error {
	var err error
	if s.child != nil {
		err = s.child.stop()
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
