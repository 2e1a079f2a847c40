package routing

import (
	"log/slog"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/failuredetector"
	"github.com/deckpulley/deckpulley/retry"
)

const (
	// tickInterval is the shortest time between two updates of the controllers and of the
	// regions' loads.
	tickInterval = 100 * time.Millisecond
	// unusableWait is how long requests may wait while no replica is usable.
	unusableWait = time.Second
)

// Config configures a Router.
type Config struct {
	// Region and Gateway are the names of the local region and of this gateway.
	Region  string
	Gateway string
	// Seed is combined with the hash of request IDs, so that gateways choose regions
	// independently.
	Seed uint64
	// Logger receives a message for each ejection. If it is nil, messages are discarded.
	Logger *slog.Logger
	// PollInterval is the expected time between two reports of a replica. Zero selects the
	// default of the failure detector, which is 500 ms.
	PollInterval time.Duration
}

// Router holds the routing state of one gateway. It is safe for concurrent use. It starts
// no goroutines: callers of Acquire block, and every event (a report, the end of a request,
// a new plan) dispatches the queues.
type Router struct {
	config         Config
	logger         *slog.Logger
	detectorConfig failuredetector.Config

	mutex    sync.Mutex
	plan     *Plan
	version  uint64 // of the plan
	serial   uint32 // of the plan
	services map[string]*service
	replicas map[string]*replica // of the local region
	remote   remoteLoads
	gateways localGateways
	pauses   pauseDetector

	retryBudget *retry.Budget
	lastTick    time.Time
}

// New returns a router that rejects every request until SetPlan is called.
func New(config Config) *Router {
	logger := config.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	detectorConfig := failuredetector.DefaultConfig()
	if config.PollInterval > 0 {
		detectorConfig.ExpectedInterval = config.PollInterval
		detectorConfig.MinStdDeviation = config.PollInterval / 2
	}
	return &Router{
		config:         config,
		logger:         logger,
		detectorConfig: detectorConfig,
		services:       make(map[string]*service),
		replicas:       make(map[string]*replica),
		remote:         make(remoteLoads),
		retryBudget:    retry.NewBudget(retry.DefaultRatio),
	}
}

// tick updates the state that depends on time, at most once per tickInterval.
func (r *Router) tick(now time.Time) {
	if now.Sub(r.lastTick) < tickInterval || r.plan == nil {
		return
	}
	r.lastTick = now
	for _, service := range r.services {
		service.tick(now)
	}
}
