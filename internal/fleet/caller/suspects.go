package caller

import (
	"sync"
	"time"
)

// suspectTime is how long a gateway that failed is tried last.
const suspectTime = 3 * time.Second

// suspects remembers gateways that could not be reached recently.
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

// moveLast returns the gateways in their order, with the suspects at the end.
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
