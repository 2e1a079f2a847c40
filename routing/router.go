package routing

import (
	"log/slog"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/failuredetector"
	"github.com/deckpulley/deckpulley/retry"
)

const (
	// tickInterval is the least time between two updates of the controllers and of the
	// regions' loads.
	tickInterval = 100 * time.Millisecond
	// unusableWait is how long requests wait while no replica is usable.
	unusableWait = time.Second
)

// Config configures a Router.
type Config struct {
	// Region and Gateway are the names of the local region and of this gateway.
	Region  string
	Gateway string
	// Seed makes the random draws of gateways differ.
	Seed uint64
	// Logger gets a message for each ejection; nil discards it.
	Logger *slog.Logger
	// PollInterval is the expected time between reports. The default is 500 ms.
	PollInterval time.Duration
}

// Router holds the routing state of one gateway. It is safe for concurrent use. It
// starts no goroutine: the callers of Acquire wait, and every event (a report, the
// end of a request, a new plan) dispatches the queues.
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
	detector := failuredetector.DefaultConfig()
	if config.PollInterval > 0 {
		detector.ExpectedInterval = config.PollInterval
		detector.MinStdDeviation = config.PollInterval / 2
	}
	return &Router{
		config:         config,
		logger:         logger,
		detectorConfig: detector,
		services:       make(map[string]*service),
		replicas:       make(map[string]*replica),
		remote:         make(remoteLoads),
		retryBudget:    retry.NewBudget(retry.DefaultRatio),
	}
}

// tick updates what depends on time alone, at most once in tickInterval.
func (r *Router) tick(now time.Time) {
	if now.Sub(r.lastTick) < tickInterval || r.plan == nil {
		return
	}
	r.lastTick = now
	for _, service := range r.services {
		service.tick(now)
	}
}
