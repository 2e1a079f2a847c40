package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// drain is a replica that must get nothing new from a time on.
type drain struct {
	replica string
	told    eventlog.Event
	until   int64 // zero while it lasts
}

// drains lists what replicas reported and what the platform listed.
func (l *log) drains() []drain {
	var list []drain
	lift := func(replica string, kind eventlog.Kind, at int64) {
		for i := range list {
			if list[i].replica == replica && list[i].until == 0 && list[i].told.Kind == kind {
				list[i].until = at
			}
		}
	}
	for _, event := range l.events {
		switch event.Kind {
		case eventlog.ReplicaDraining:
			lift(replicaOf(event), eventlog.ReplicaDraining, event.At)
			if event.Detail != DetailWithdrawn {
				list = append(list, drain{replica: replicaOf(event), told: event})
			}
		case eventlog.PlatformDrain:
			lift(replicaOf(event), eventlog.PlatformDrain, event.At)
			if event.Detail != DetailWithdrawn {
				list = append(list, drain{replica: replicaOf(event), told: event})
			}
		case eventlog.ReplicaStarted:
			lift(replicaOf(event), eventlog.ReplicaDraining, event.At)
		}
	}
	return list
}

// checkDrains finds requests that reached a draining replica.
func checkDrains(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: drainBound.Seconds(), Unit: "s"}
	for _, drain := range l.drains() {
		violated := false
		for _, received := range l.receivedAfter(drain.told.At) {
			if drain.until != 0 && received.At > drain.until {
				break
			}
			verdict.Examined += countAfter(drain.told, received, drainBound)
			if replicaOf(received) != drain.replica {
				continue
			}
			verdict.worst(after(drain.told, received).Seconds())
			if after(drain.told, received) > drainBound && !violated {
				violated = true
				verdict.violate(fmt.Sprintf("%s got a request %.2f s after it drained", drain.replica, after(drain.told, received).Seconds()), drain.told, received)
			}
		}
	}
}

// coldReplica counts what one incarnation of a cold replica has completed.
type coldReplica struct {
	completed int
}

// limit is the ramp of a cold replica: its first step, and one more each time it
// completed as many requests as the present step.
func (c *coldReplica) limit(first int) int {
	limit, left := first, c.completed
	for left >= limit {
		left -= limit
		limit++
	}
	return limit
}

// becameCold is a replica's word for a loss of its warmth without a restart.
const becameCold = "cold"

// checkColdReplicas compares the work in flight on a cold replica, fleet-wide,
// with its ramp and one for each gateway at the most.
func checkColdReplicas(l *log, options Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: float64(options.Gateways), Unit: "requests beyond the ramp"}
	cold := map[string]*coldReplica{}
	for _, event := range l.events {
		name := replicaOf(event)
		switch event.Kind {
		case eventlog.ReplicaStarted:
			cold[name] = &coldReplica{}
		case eventlog.ReplicaFault:
			if event.Detail == becameCold {
				cold[name] = &coldReplica{}
			}
		case eventlog.ReplicaEnded:
			if state, ok := cold[name]; ok && endedWhole(event) {
				state.completed++
			}
		case eventlog.ReplicaReceived, eventlog.ReplicaExecuted:
			if !event.Cold || event.InFlight == 0 {
				continue
			}
			verdict.Examined++
			checkRamp(event, cold[name], options, verdict)
		}
	}
}

func checkRamp(event eventlog.Event, state *coldReplica, options Options, verdict *Verdict) {
	if state == nil {
		state = &coldReplica{}
	}
	ramp := state.limit(max(1, options.ColdRamp))
	beyond := event.InFlight - ramp
	verdict.worst(float64(beyond))
	if beyond > options.Gateways {
		verdict.violate(fmt.Sprintf("cold %s held %d requests on a ramp of %d", replicaOf(event), event.InFlight, ramp), event)
	}
}

// checkRetries compares further attempts with first ones over sliding windows.
func checkRetries(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: retryAllowed, Unit: "retries per first attempt"}
	if len(l.received) == 0 {
		return
	}
	start := l.received[0].At
	for from := start; from+int64(retryWindow) <= l.end; from += int64(retryStep) {
		first, further, last := countAttempts(l.receivedAfter(from-1), from+int64(retryWindow))
		if first < retryWindowMinimum {
			continue
		}
		verdict.Examined += first + further
		ratio := float64(further) / float64(first)
		verdict.worst(ratio)
		if ratio > retryAllowed {
			verdict.violate(fmt.Sprintf("%d further attempts beside %d first ones in the %v from %.1f s", further, first, retryWindow, seconds(from-start)), last...)
		}
	}
}

// countAttempts also returns the last two further attempts.
func countAttempts(received []eventlog.Event, to int64) (first, further int, last []eventlog.Event) {
	for _, event := range received {
		if event.At >= to {
			break
		}
		if event.Attempt <= 1 {
			first++
			continue
		}
		further++
		last = append(last, event)
	}
	if len(last) > 2 {
		last = last[len(last)-2:]
	}
	return first, further, last
}
