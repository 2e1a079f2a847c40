package caller

import (
	"sync"
	"time"
)

// suspectTime is how long a gateway is tried last after a failure.
const suspectTime = 3 * time.Second

// suspects tracks the gateways that failed recently.
type suspects struct {
	mutex  sync.Mutex
	expiry map[string]time.Time // by gateway
}

func newSuspects() *suspects { return &suspects{expiry: map[string]time.Time{}} }

func (s *suspects) add(gateway string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expiry[gateway] = time.Now().Add(suspectTime)
}

// moveLast returns the gateways with the suspects moved to the end. The order is otherwise
// preserved.
func (s *suspects) moveLast(gateways []string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	var reachable, suspected []string
	for _, gateway := range gateways {
		if now.Before(s.expiry[gateway]) {
			suspected = append(suspected, gateway)
			continue
		}
		reachable = append(reachable, gateway)
	}
	return append(reachable, suspected...)
}
