package checker

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const (
	// configurationBound is the longest time after the acknowledgement of a
	// configuration in which requests may still be placed by an older one.
	configurationBound = 2500 * time.Millisecond
	// arrivalSkew is the longest time by which requests of one gateway may reach
	// replicas in a different order than the gateway placed them.
	arrivalSkew = 100 * time.Millisecond
)

// checkConfigurationBound finds requests that were placed by an older version and
// reached a replica later than configurationBound after the acknowledgement of a newer
// version.
func checkConfigurationBound(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: configurationBound.Seconds(), Unit: "s"}
	for _, ack := range x.acknowledgements(DetailConfiguration) {
		var late eventlog.Event // the first such request
		for _, received := range x.receivedAfter(ack.answer.At) {
			since := after(ack.answer, received)
			if since > configurationBound {
				verdict.Examined++
			}
			if received.Version >= ack.answer.Version {
				continue
			}
			verdict.measure(since.Seconds())
			if since > configurationBound && late.At == 0 {
				late = received
			}
		}
		if late.At != 0 {
			summary := fmt.Sprintf("a placement with version %d by %s reached %s %.2f s after version %d was acknowledged",
				late.Version, late.Gateway, replicaOf(late), after(ack.answer, late).Seconds(), ack.answer.Version)
			verdict.addViolation(summary, ack.answer, late)
		}
	}
}

// checkVersionOrder finds versions that decrease: between the executions of one replica,
// between the placements of one gateway, and on any replica after some replica received
// a newer version.
func checkVersionOrder(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: arrivalSkew.Seconds(), Unit: "s of crossing"}
	checkReplicaVersions(x, verdict)
	checkGatewayVersions(x, verdict)
	checkOldVersions(x, verdict)
}

func checkReplicaVersions(x *index, verdict *Verdict) {
	newest := map[string]eventlog.Event{} // by replica
	for _, executed := range x.executed {
		verdict.Examined++
		replica := replicaOf(executed)
		earlier := newest[replica]
		if executed.Version < earlier.Version {
			verdict.addViolation(fmt.Sprintf("%s executed a request of version %d after one of version %d", replica, executed.Version, earlier.Version), earlier, executed)
			continue
		}
		newest[replica] = executed
	}
}

func checkGatewayVersions(x *index, verdict *Verdict) {
	// increases holds, by gateway, the first event with each newer version.
	increases := map[string][]eventlog.Event{}
	for _, received := range x.received {
		if received.Gateway == "" {
			continue
		}
		known := increases[received.Gateway]
		if isIncrease(known, received) {
			increases[received.Gateway] = append(known, received)
			continue
		}
		newer, ok := firstNewer(known, received.Version)
		if !ok {
			continue
		}
		verdict.measure(after(newer, received).Seconds())
		if after(newer, received) > arrivalSkew {
			verdict.addViolation(fmt.Sprintf("%s placed a request with version %d after one with version %d", received.Gateway, received.Version, newer.Version), newer, received)
		}
	}
}

// isIncrease reports whether the version of an event is newer than those of all
// increases, which are ordered by version.
func isIncrease(increases []eventlog.Event, event eventlog.Event) bool {
	return len(increases) == 0 || event.Version > increases[len(increases)-1].Version
}

// firstNewer returns the first of the increases that is newer than version.
func firstNewer(increases []eventlog.Event, version uint64) (eventlog.Event, bool) {
	for _, increase := range increases {
		if increase.Version > version {
			return increase, true
		}
	}
	return eventlog.Event{}, false
}

func checkOldVersions(x *index, verdict *Verdict) {
	var increases []eventlog.Event
	for _, received := range x.received {
		if isIncrease(increases, received) {
			increases = append(increases, received)
		}
	}
	reported := map[uint64]bool{} // by newer version
	for _, executed := range x.executed {
		newer, ok := firstNewer(increases, executed.Version)
		if !ok || executed.At < newer.At || after(newer, executed) <= configurationBound || reported[newer.Version] {
			continue
		}
		reported[newer.Version] = true
		summary := fmt.Sprintf("%s executed a request of version %d, %.2f s after %s had received version %d",
			replicaOf(executed), executed.Version, after(newer, executed).Seconds(), replicaOf(newer), newer.Version)
		verdict.addViolation(summary, newer, executed)
	}
}
