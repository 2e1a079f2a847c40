package checker

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Times of events in the healthy run, in milliseconds from its start.
const (
	secondOperationAt  = 10_000
	refusedOperationAt = 12_000
	failureAt          = 15_000
	readAt             = 19_000
	freezeAt           = 29_000
	drainAt            = 30_000
	evacuateAt         = 30_000
	withdrawAt         = 40_000
	thawAt             = 50_000
	lastOperationAt    = 51_000
	startAt            = 53_000
	crowdAt            = 62_000
	endAt              = 100_000
	refusalAt          = 5_000
)

// run is a synthetic run whose events a test builds and modifies.
type run struct{ events []eventlog.Event }

// add adds an event at a time in milliseconds from the start of the run.
func (r *run) add(at int64, event eventlog.Event) {
	event.At = (at + 1_000_000) * int64(time.Millisecond)
	r.events = append(r.events, event)
}

// rewrite changes the events that match.
func (r *run) rewrite(match func(eventlog.Event) bool, change func(*eventlog.Event)) {
	for i := range r.events {
		if match(r.events[i]) {
			change(&r.events[i])
		}
	}
}

func (r *run) remove(match func(eventlog.Event) bool) {
	kept := r.events[:0:0]
	for _, event := range r.events {
		if !match(event) {
			kept = append(kept, event)
		}
	}
	r.events = kept
}

func milliseconds(event eventlog.Event) int64 {
	return event.At/int64(time.Millisecond) - 1_000_000
}

// requestsIn matches the events of requests in [from, to) milliseconds.
func requestsIn(from, to int64) func(eventlog.Event) bool {
	return func(event eventlog.Event) bool {
		at := milliseconds(event)
		return event.Request != "" && at >= from && at < to
	}
}

// versionAt returns the configuration version and the serial in effect at a time.
func versionAt(at int64) (uint64, uint32) {
	switch {
	case at >= lastOperationAt+200:
		return 3, 30
	case at >= secondOperationAt+200:
		return 2, 20
	default:
		return 1, 10
	}
}

// addRequest adds a request of one of three kinds in turn: a non-repeatable stream, a
// repeatable request bound to its home, and one without a home.
func (r *run) addRequest(number int, at int64) {
	id := fmt.Sprintf("request-%d", number)
	replica := "replica-north-1"
	if number%3 == 2 && (at < evacuateAt-1000 || at > withdrawAt+1000) {
		replica = "replica-south-1"
	}
	version, serial := versionAt(at)
	base := eventlog.Event{Request: id, Run: "run-" + id, Attempt: 1, Gateway: "gateway-1"}
	caller := base
	caller.Stream = number%3 == 0
	caller.Repeatable = !caller.Stream
	if number%3 == 1 {
		caller.HomeRegions = []string{"north"}
	}
	placed := base
	placed.Replica, placed.Version, placed.Serial = replica, version, serial
	r.add(at, with(caller, eventlog.CallerSent))
	r.add(at+1, with(placed, eventlog.ReplicaReceived))
	r.add(at+1, with(placed, eventlog.ReplicaExecuted))
	if caller.Stream {
		for sequence := 1; sequence <= 2; sequence++ {
			chunk := with(caller, eventlog.CallerChunk)
			chunk.Sequence = sequence
			r.add(at+2+int64(sequence), chunk)
		}
	}
	ended := with(placed, eventlog.ReplicaEnded)
	ended.Detail, ended.Tokens = DetailComplete, 7
	r.add(at+50, ended)
	answer := with(caller, eventlog.CallerAnswered)
	answer.Outcome, answer.Tokens, answer.Sequence = "success", 7, 3
	r.add(at+51, answer)
}

// with returns a copy of the event with another kind.
func with(event eventlog.Event, kind eventlog.Kind) eventlog.Event {
	event.Kind = kind
	return event
}

func (r *run) addOperation(at int64, id, detail string, base, version uint64, serial uint32, outcome string) {
	sent := eventlog.Event{Kind: eventlog.OperationSent, Operation: id, Detail: detail, Base: base, Zone: "south-1", Target: "digest-" + id}
	r.add(at, sent)
	r.add(at+100, eventlog.Event{Kind: eventlog.OperationAnswered, Operation: id, Outcome: outcome, Version: version, Serial: serial})
}

func (r *run) addFault(at int64, detail, class, target string) {
	r.add(at, eventlog.Event{Kind: eventlog.FaultInjected, Detail: detail, Class: class, Target: target})
}

// healthyRun returns a run that exercises every promise and violates none.
func healthyRun() *run {
	r := &run{}
	for _, region := range []string{"north", "south"} {
		for number := 1; number <= 3; number++ {
			r.add(-10, eventlog.Event{Kind: eventlog.Inventory, Replica: fmt.Sprintf("replica-%s-%d", region, number), Region: region, Zone: region + "-1"})
		}
	}
	r.addOperation(-200, "first", DetailConfiguration, 0, 1, 10, OperationAccepted)
	for number := 0; number*100 < endAt; number++ {
		r.addRequest(number, int64(number)*100)
	}
	r.add(refusalAt, eventlog.Event{Kind: eventlog.CallerAnswered, Request: "refused", Repeatable: true, Outcome: "refused", Code: "overloaded"})
	r.addOperation(secondOperationAt, "second", DetailConfiguration, 1, 2, 20, OperationAccepted)
	r.addOperation(secondOperationAt+500, "second", DetailConfiguration, 1, 2, 20, OperationAccepted)
	r.addOperation(refusedOperationAt, "outraced", DetailConfiguration, 1, 0, 0, OperationRefused)
	r.addFault(failureAt, FaultKill, TargetControl, "control-north")
	r.addFault(readAt+500, FaultStart, TargetControl, "control-north")
	r.add(readAt, eventlog.Event{Kind: eventlog.ConfigurationRead, Version: 2, Target: "digest-second"})
	r.addFault(freezeAt, FaultFreeze, TargetControl, "control-south")
	r.add(drainAt, eventlog.Event{Kind: eventlog.ReplicaDraining, Replica: "replica-north-3"})
	r.addOperation(evacuateAt-100, "evacuation", DetailEvacuate, 0, 2, 21, OperationAccepted)
	r.addOperation(withdrawAt, "withdrawal", DetailWithdraw, 0, 2, 22, OperationAccepted)
	r.addFault(thawAt, FaultThaw, TargetControl, "control-south")
	r.addOperation(lastOperationAt, "last", DetailConfiguration, 2, 3, 30, OperationAccepted)
	r.addFault(startAt, FaultStart, TargetFleet, "all")
	r.add(startAt, eventlog.Event{Kind: eventlog.ReplicaStarted, Replica: "replica-north-2"})
	r.add(startAt+10, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-north-2", Cold: true, InFlight: 1, Version: 3, Serial: 30, Attempt: 1})
	r.add(startAt+20, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-north-1", Version: 3, Serial: 30, Attempt: 2})
	r.addFault(crowdAt, FaultCrowd, TargetLoad, "load")
	r.add(endAt, eventlog.Event{Kind: eventlog.Note})
	return r
}

func (r *run) check() Report {
	sort.SliceStable(r.events, func(i, j int) bool { return r.events[i].At < r.events[j].At })
	return Check(r.events, Options{SlowStartLimit: 1, Gateways: 8})
}

// violations maps each promise to a change of the healthy run that breaks only it.
var violations = map[Promise]func(*run){
	"P1": func(r *run) {
		r.add(200, eventlog.Event{Kind: eventlog.ReplicaExecuted, Request: "request-0", Run: "again", Replica: "replica-south-1", Version: 1, Serial: 10})
	},
	"P2": func(r *run) {
		r.add(refusalAt+900, eventlog.Event{Kind: eventlog.ReplicaExecuted, Request: "refused", Run: "late", Replica: "replica-south-1", Version: 1, Serial: 10})
	},
	"P3": func(r *run) {
		r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.ReplicaEnded && e.Request == "request-1" },
			func(e *eventlog.Event) { e.Detail = "broken" })
	},
	"P4": func(r *run) {
		r.rewrite(func(e eventlog.Event) bool {
			return e.Kind == eventlog.CallerChunk && e.Request == "request-3" && e.Sequence == 2
		}, func(e *eventlog.Event) { e.Run = "another" })
	},
	"P5": func(r *run) {
		r.add(secondOperationAt+2700, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-south-1", Gateway: "gateway-2", Version: 1, Serial: 10, Attempt: 1})
	},
	"P6": func(r *run) {
		r.add(secondOperationAt+900, eventlog.Event{Kind: eventlog.ReplicaExecuted, Run: "old", Replica: "replica-north-1", Version: 1, Serial: 10})
	},
	"P7": func(r *run) {
		r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.ConfigurationRead },
			func(e *eventlog.Event) { e.Version, e.Target = 1, "digest-first" })
	},
	"P8": func(r *run) {
		r.add(lastOperationAt+500, eventlog.Event{Kind: eventlog.ConfigurationRead, Version: 4, Target: "digest-outraced"})
	},
	"P9": func(r *run) {
		r.add(secondOperationAt+700, eventlog.Event{Kind: eventlog.OperationAnswered, Operation: "second", Outcome: OperationRefused, Code: "version_conflict"})
	},
	"P10": func(r *run) {
		r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.OperationAnswered && e.Operation == "last" },
			func(e *eventlog.Event) { e.Serial = 21 })
	},
	"P11": func(r *run) {
		r.add(drainAt+4500, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-north-3", Version: 2, Serial: 20, Attempt: 1})
	},
	"P12": func(r *run) {
		r.add(evacuateAt+5500, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-south-3", Version: 2, Serial: 20, Attempt: 1})
	},
	"P13": func(r *run) {
		r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.ReplicaExecuted && e.Request == "request-1" },
			func(e *eventlog.Event) { e.Replica = "replica-south-1" })
	},
	"P14": func(r *run) {
		r.rewrite(func(e eventlog.Event) bool { return e.Cold }, func(e *eventlog.Event) { e.InFlight = 20 })
	},
	"P15": func(r *run) {
		for i := int64(0); i < 50; i++ {
			r.add(55_000+i*100, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-north-1", Version: 3, Serial: 30, Attempt: 2})
		}
	},
	"P16": func(r *run) { r.remove(requestsIn(startAt-100, startAt+13_500)) },
	"P17": func(r *run) { r.remove(requestsIn(failureAt-100, failureAt+13_500)) },
	"P18": func(r *run) {
		for i := 0; i < 20; i++ {
			name := fmt.Sprintf("surge-%d", i)
			r.add(crowdAt+33_000, eventlog.Event{Kind: eventlog.ReplicaExecuted, Request: name, Run: name, Replica: "replica-north-1", Version: 3, Serial: 30})
			r.add(crowdAt+34_000, eventlog.Event{Kind: eventlog.ReplicaEnded, Request: name, Run: name, Replica: "replica-north-1", Detail: DetailComplete})
		}
	},
}

func TestHealthyRunKeepsEveryPromise(t *testing.T) {
	for _, verdict := range healthyRun().check().Verdicts {
		if verdict.Status() != StatusKept {
			t.Errorf("%s: %s, examined %d, violations %+v", verdict.Promise, verdict.Status(), verdict.Examined, verdict.Violations)
		}
	}
}

func TestEachViolationIsReportedAlone(t *testing.T) {
	for _, check := range checks() {
		breakPromise, ok := violations[check.promise]
		if !ok {
			t.Errorf("%s: no violating run is defined", check.promise)
			continue
		}
		r := healthyRun()
		breakPromise(r)
		for _, verdict := range r.check().Verdicts {
			broken := verdict.Status() == StatusBroken
			if broken != (verdict.Promise == check.promise) {
				t.Errorf("run that violates %s: status of %s is %s: %+v", check.promise, verdict.Promise, verdict.Status(), verdict.Violations)
			}
			for _, violation := range verdict.Violations {
				if len(violation.Evidence) == 0 {
					t.Errorf("%s: violation %q has no evidence", verdict.Promise, violation.Summary)
				}
			}
		}
	}
}

func TestEmptyRunExercisesNoPromise(t *testing.T) {
	for _, verdict := range Check(nil, Options{}).Verdicts {
		if verdict.Status() != StatusNotExercised {
			t.Errorf("%s: status %s without events, want not exercised", verdict.Promise, verdict.Status())
		}
	}
}

// TestOtherViolationsAreReported checks further kinds of violations of a promise.
func TestOtherViolationsAreReported(t *testing.T) {
	tests := []struct {
		name    string
		promise Promise
		change  func(*run)
	}{
		{"a gateway places a request on another replica with an older version", "P6", func(r *run) {
			r.add(secondOperationAt+900, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-south-3", Gateway: "gateway-1", Version: 1, Serial: 10, Attempt: 1})
		}},
		{"two operations accepted on one base version", "P8", func(r *run) {
			r.addOperation(secondOperationAt+3000, "rival", DetailConfiguration, 1, 2, 0, OperationAccepted)
		}},
		{"a version that no operation created", "P8", func(r *run) {
			r.add(refusedOperationAt+100, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-south-3", Gateway: "gateway-7", Version: 9, Serial: 99, Attempt: 1})
		}},
		{"two versions with the same serial", "P10", func(r *run) {
			r.add(freezeAt+9000, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "replica-north-3", Gateway: "gateway-7", Version: 1, Serial: 20, Attempt: 1})
		}},
		{"an operation accepted by a partitioned node", "P10", func(r *run) {
			r.add(-10, eventlog.Event{Kind: eventlog.Inventory, Class: TargetControl, Target: "control-east", Gateway: "10.0.0.1:1"})
			r.addFault(crowdAt, FaultCut, TargetControl, "control-east")
			r.add(crowdAt+5000, eventlog.Event{Kind: eventlog.OperationSent, Operation: "alone", Detail: DetailWithdraw, Gateway: "10.0.0.1:1"})
			r.add(crowdAt+5100, eventlog.Event{Kind: eventlog.OperationAnswered, Operation: "alone", Outcome: OperationAccepted, Gateway: "10.0.0.1:1", Serial: 31, Version: 3})
			r.addFault(crowdAt+24_000, FaultHeal, TargetControl, "control-east")
		}},
		{"a success of a run that never started", "P3", func(r *run) {
			r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.CallerAnswered && e.Request == "request-1" },
				func(e *eventlog.Event) { e.Run = "invented" })
		}},
		{"the answer to another request", "P3", func(r *run) {
			r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.CallerAnswered && e.Request == "request-1" },
				func(e *eventlog.Event) { e.Run = "run-request-4" })
		}},
		{"an end marker after a gap in the sequence", "P4", func(r *run) {
			r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.CallerAnswered && e.Request == "request-3" },
				func(e *eventlog.Event) { e.Sequence = 9 })
		}},
		{"an end marker that the replica did not send", "P4", func(r *run) {
			r.rewrite(func(e eventlog.Event) bool { return e.Kind == eventlog.ReplicaEnded && e.Request == "request-3" },
				func(e *eventlog.Event) { e.Detail = "broken" })
		}},
		{"an evacuation lost with a disk", "P7", func(r *run) {
			r.addFault(evacuateAt+1000, FaultWipe, TargetControl, "control-north")
			r.add(evacuateAt+5000, eventlog.Event{Kind: eventlog.ZonesRead, Zone: "south-1", Detail: "open"})
		}},
		{"a resent operation refused though it is in effect", "P9", func(r *run) {
			r.addOperation(lastOperationAt+3000, "lost", DetailConfiguration, 3, 0, 0, OperationUnknown)
			r.addOperation(lastOperationAt+4000, "lost", DetailConfiguration, 3, 0, 0, OperationRefused)
			r.add(lastOperationAt+5000, eventlog.Event{Kind: eventlog.ConfigurationRead, Version: 4, Target: "digest-lost"})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := healthyRun()
			test.change(r)
			verdict, _ := r.check().Verdict(test.promise)
			if verdict.Status() != StatusBroken {
				t.Errorf("status of %s is %s, want broken", test.promise, verdict.Status())
			}
		})
	}
}

func TestMergeAddsCountsAndKeepsTheWorst(t *testing.T) {
	kept, broken := healthyRun().check(), healthyRun()
	violations["P12"](broken)
	merged := Merge(kept, broken.check())
	verdict, _ := merged.Verdict("P12")
	if verdict.Status() != StatusBroken || verdict.Bound.Worst < 5.4 || verdict.Examined <= kept.Verdicts[11].Examined {
		t.Errorf("verdict on P12 after merging: %+v", verdict)
	}
	if merged.Events != kept.Events+len(broken.events) {
		t.Errorf("merged report has %d events, want the sum of both reports", merged.Events)
	}
}

// TestOnlySingleFailuresAreEvaluated checks that P17 does not evaluate a failure that
// overlaps with another one, and does not count requests that a partitioned region
// cannot serve.
func TestOnlySingleFailuresAreEvaluated(t *testing.T) {
	tests := []struct {
		name   string
		change func(*run)
		status Status
	}{
		{"a second control node fails before the first has recovered", func(r *run) {
			r.addFault(failureAt+500, FaultFreeze, TargetControl, "control-south")
			r.remove(requestsIn(failureAt-100, failureAt+13_500))
		}, StatusNotExercised},
		{"the first control node recovers before the second one fails", func(r *run) {
			r.addFault(failureAt+100, FaultStart, TargetControl, "control-north")
			r.addFault(failureAt+500, FaultFreeze, TargetControl, "control-south")
			r.remove(requestsIn(failureAt+400, failureAt+15_000))
		}, StatusBroken},
		{"an outage that begins when the leases expire", func(r *run) {
			r.remove(func(e eventlog.Event) bool {
				return e.Kind == eventlog.FaultInjected && e.Detail == FaultStart && milliseconds(e) < startAt
			})
			for at := int64(failureAt) + 1800; at < failureAt+20_000; at += 50 {
				r.add(at, eventlog.Event{Kind: eventlog.CallerAnswered, Request: fmt.Sprintf("outage-%d", at), Outcome: "refused", Code: "no_lease"})
			}
		}, StatusBroken},
		{"single refusals after the recovery", func(r *run) {
			for at := int64(failureAt) + 2000; at < failureAt+20_000; at += 1000 {
				r.add(at, eventlog.Event{Kind: eventlog.CallerAnswered, Request: fmt.Sprintf("single-%d", at), Outcome: "refused", Code: "overloaded"})
			}
		}, StatusKept},
		{"refusals to callers in a partitioned region", func(r *run) {
			r.remove(func(e eventlog.Event) bool { return e.Kind == eventlog.FaultInjected && milliseconds(e) == failureAt })
			r.events = append(r.events, eventlog.Event{At: (failureAt + 1_000_000) * int64(time.Millisecond), Kind: eventlog.FaultInjected, Detail: FaultCut, Class: TargetRegion, Target: "region:south", Region: "south"})
			for at := int64(failureAt); at < failureAt+14_000; at += 100 {
				r.add(at, eventlog.Event{Kind: eventlog.CallerAnswered, Request: fmt.Sprintf("cut-%d", at), Region: "south", Outcome: "refused", Code: "no_lease"})
			}
		}, StatusKept},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := healthyRun()
			r.remove(func(e eventlog.Event) bool {
				return e.Kind == eventlog.FaultInjected && (e.Detail == FaultFreeze || e.Detail == FaultThaw)
			})
			test.change(r)
			verdict, _ := r.check().Verdict("P17")
			if verdict.Status() != test.status {
				t.Errorf("status of P17 is %s: %+v", verdict.Status(), verdict.Violations)
			}
		})
	}
}
