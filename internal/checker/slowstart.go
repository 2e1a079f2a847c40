package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// slowStart is the progress of a replica's slow start since it became cold.
type slowStart struct {
	completed int
}

// limit returns the number of requests that may be in flight. It starts at initial and
// rises by one whenever as many further requests as the current limit have completed.
func (s *slowStart) limit(initial int) int {
	limit, remaining := initial, s.completed
	for remaining >= limit {
		remaining -= limit
		limit++
	}
	return limit
}

// detailBecameCold is the detail of an injected fault that makes a replica cold without a
// restart.
const detailBecameCold = "cold"

// checkSlowStart compares the number of requests in flight from all gateways on each cold
// replica with its slow start limit, which may be exceeded by one request per gateway.
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

// checkInFlight compares the number of requests in flight at one event with the limit. A
// nil state means that the replica has been cold since the start of the run.
func checkInFlight(event eventlog.Event, state *slowStart, options Options, verdict *Verdict) {
	if state == nil {
		state = &slowStart{}
	}
	limit := state.limit(max(1, options.SlowStartLimit))
	excess := event.InFlight - limit
	verdict.measure(float64(excess))
	if excess > options.Gateways {
		verdict.addViolation(fmt.Sprintf("cold replica %s had %d requests in flight with a slow start limit of %d", replicaOf(event), event.InFlight, limit), event)
	}
}
