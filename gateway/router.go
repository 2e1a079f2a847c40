package gateway

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// Router decides where requests run; *routing.Router is the real one.
type Router interface {
	SetPlan(*routing.Plan)
	Observe(replica string, report api.ReplicaReport, at time.Time)
	RecordPollFailure(replica string, at time.Time)
	Suspect(replica, incarnation string, at time.Time) bool
	Resolve(api.GenerateRequest, time.Time) (routing.Request, *api.Error)
	Regions(routing.Request) []string
	Rejection(routing.Request) *api.Error
	Acquire(context.Context, routing.Request) (*routing.Reservation, *api.Error)
	Reserve(routing.Request) (*routing.Reservation, *api.Error)
	AllowRetry() bool
	RecordAttempt()
	Conditions(time.Time) []routing.ConditionChange
	Watched() []string
	WarmupGateways(service string) []string
	Status() routing.Status
	Load() map[string]float64
	SetRemoteLoad(region string, load map[string]float64, at time.Time)
}
