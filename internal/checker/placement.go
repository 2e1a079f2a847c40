package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const (
	// drainBound is the longest time after the start of a drain in which requests may
	// still reach the replica.
	drainBound = 4 * time.Second
	// evacuationBound is the longest time after the acknowledgement of an evacuation in
	// which requests may still reach the zone.
	evacuationBound = 5 * time.Second
)

// exclusion is a period in which some replicas must not receive requests.
type exclusion struct {
	start eventlog.Event
	end   int64 // 0 if it lasts to the end of the run
	// bound is the longest time after the start in which requests may still arrive.
	bound time.Duration
	// excludes reports whether a request reached one of these replicas.
	excludes func(received eventlog.Event) bool
	// summary describes a request that arrived too late.
	summary func(received eventlog.Event, since time.Duration) string
}

// checkExclusion examines every request that replicas received later than the bound and
// adds the first violation to the verdict.
func (x *index) checkExclusion(excluded exclusion, verdict *Verdict) {
	violated := false
	for _, received := range x.receivedAfter(excluded.start.At) {
		if excluded.end != 0 && received.At > excluded.end {
			return
		}
		since := after(excluded.start, received)
		if since > excluded.bound {
			verdict.Examined++
		}
		if !excluded.excludes(received) {
			continue
		}
		verdict.measure(since.Seconds())
		if since > excluded.bound && !violated {
			violated = true
			verdict.addViolation(excluded.summary(received, since), excluded.start, received)
		}
	}
}

// checkDraining finds requests that reached a draining replica.
func checkDraining(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: drainBound.Seconds(), Unit: "s"}
	for _, drained := range x.drains() {
		x.checkExclusion(exclusion{
			start: drained.start, end: drained.end, bound: drainBound,
			excludes: func(received eventlog.Event) bool { return replicaOf(received) == drained.replica },
			summary: func(_ eventlog.Event, since time.Duration) string {
				return fmt.Sprintf("%s received a request %.2f s after its drain began", drained.replica, since.Seconds())
			},
		}, verdict)
	}
}

// drain is a period in which a replica is draining.
type drain struct {
	replica string
	start   eventlog.Event // logged by the replica or by the platform
	end     int64          // 0 if it lasts to the end of the run
}

// drains returns the drains that replicas reported and those that the platform listed.
// The two are independent: the end of one does not end the other.
func (x *index) drains() []drain {
	var list []drain
	end := func(replica string, kind eventlog.Kind, at int64) {
		for i := range list {
			if list[i].replica == replica && list[i].end == 0 && list[i].start.Kind == kind {
				list[i].end = at
			}
		}
	}
	for _, event := range x.events {
		switch event.Kind {
		case eventlog.ReplicaDraining, eventlog.PlatformDrain:
			end(replicaOf(event), event.Kind, event.At)
			if event.Detail != DetailWithdrawn {
				list = append(list, drain{replica: replicaOf(event), start: event})
			}
		case eventlog.ReplicaStarted:
			end(replicaOf(event), eventlog.ReplicaDraining, event.At)
		}
	}
	return list
}

// checkEvacuations finds requests that reached a zone after the acknowledgement of its
// evacuation and before a withdrawal was sent.
func checkEvacuations(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: evacuationBound.Seconds(), Unit: "s"}
	for _, ack := range x.acknowledgements(DetailEvacuate) {
		zone := ack.operation.zone()
		x.checkExclusion(exclusion{
			start: ack.answer, end: x.withdrawalAfter(ack), bound: evacuationBound,
			excludes: func(received eventlog.Event) bool { return x.zoneOf(received) == zone },
			summary: func(received eventlog.Event, since time.Duration) string {
				return fmt.Sprintf("%s received a request %.2f s after the evacuation of %s", replicaOf(received), since.Seconds(), zone)
			},
		}, verdict)
	}
}

// checkHomes finds executions of home-bound requests outside their home regions.
func checkHomes(x *index, _ Options, verdict *Verdict) {
	for _, request := range x.ordered {
		if len(request.homeRegions) == 0 {
			continue
		}
		for _, executed := range request.executed {
			verdict.Examined++
			region := x.regionOf(executed)
			if !slices.Contains(request.homeRegions, region) {
				summary := fmt.Sprintf("request %s with home regions %v ran in %s", request.id, request.homeRegions, region)
				verdict.addViolation(summary, request.first, executed)
			}
		}
	}
}
