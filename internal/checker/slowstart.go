package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// slowStart is the state of the slow start of a replica since it became cold.
type slowStart struct {
	completed int
}

// limit returns the number of requests that may be in flight. It begins at initial and
// rises by one each time that as many requests as the present limit have completed.
func (s *slowStart) limit(initial int) int {
	limit, remaining := initial, s.completed
	for remaining >= limit {
		remaining -= limit
		limit++
	}
	return limit
}

// detailBecameCold is the detail of a replica's fault after which it is cold although
// it was not restarted.
const detailBecameCold = "cold"

// checkSlowStart compares the requests in flight on cold replicas, over all gateways,
// with their limit and one request for each gateway.
func checkSlowStart(x *index, options Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: float64(options.Gateways), Unit: "requests beyond the ramp"}
	cold := map[string]*slowStart{} // by replica
	for _, event := range x.events {
		replica := replicaOf(event)
		switch event.Kind {
		case eventlog.ReplicaStarted:
			cold[replica] = &slowStart{}
		case eventlog.ReplicaFault:
			if event.Detail == detailBecameCold {
				cold[replica] = &slowStart{}
			}
		case eventlog.ReplicaEnded:
			if state, ok := cold[replica]; ok && endedCompletely(event) {
				state.completed++
			}
		case eventlog.ReplicaReceived, eventlog.ReplicaExecuted:
			if event.Cold && event.InFlight > 0 {
				verdict.Examined++
				checkInFlight(event, cold[replica], options, verdict)
			}
		}
	}
}

// checkInFlight compares the requests in flight at one event with the limit. Without a
// state, the replica was cold from the start of the run.
func checkInFlight(event eventlog.Event, state *slowStart, options Options, verdict *Verdict) {
	if state == nil {
		state = &slowStart{}
	}
	limit := state.limit(max(1, options.SlowStartLimit))
	excess := event.InFlight - limit
	verdict.measure(float64(excess))
	if excess > options.Gateways {
		verdict.addViolation(fmt.Sprintf("cold %s held %d requests on a ramp of %d", replicaOf(event), event.InFlight, limit), event)
	}
}
