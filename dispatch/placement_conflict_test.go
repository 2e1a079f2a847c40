package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// announcementDelay is the delay of announcements between the gateways of these tests.
const announcementDelay = time.Millisecond

// longPrompt is the length of a prompt that takes about half a second to prefill.
const longPrompt = 25_000

// gatewayPair holds two gateways of one region that announce their prompts to each other.
type gatewayPair struct {
	first, second *fixture
}

// newGatewayPair returns a pair with the given replicas.
func newGatewayPair(t *testing.T, replicas ...string) *gatewayPair {
	t.Helper()
	pair := &gatewayPair{first: newFixture(t), second: newFixtureOf(t, "g2")}
	for _, f := range []*fixture{pair.first, pair.second} {
		for _, name := range []string{"g1", "g2"} {
			f.apply(registry.Add(catalog.GatewayRecord(name, catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})))
		}
		f.configure(withPrompts)
		for _, name := range replicas {
			f.addReplica(name, "east-1")
		}
		f.respond = func(context.Context, *Attempt) (*Response, error) {
			return events("id: 1\ndata: x\n\n", nil), nil
		}
	}
	connect(pair.first, pair.second)
	connect(pair.second, pair.first)
	return pair
}

// withPrompts configures a route for event streams at replicas that prefill prompts.
func withPrompts(route *routemap.Route, service *routemap.Service) {
	route.Kind = routemap.Stream
	route.FirstEventTarget = time.Second
	service.CacheTokens = 400_000
}

// connect delivers the announcements of one gateway to another.
func connect(from, to *fixture) {
	name := from.dispatcher.options.Gateway
	report := func(update peer.RegionLoads) {
		time.AfterFunc(announcementDelay, func() { to.dispatcher.HandleRegionLoads(&update) })
	}
	from.dispatcher.options.OnPlaced = func(prompt peer.PlacedPrompt) {
		prompt.Gateway = peer.NewReplicaKey(name)
		report(peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{prompt}})
	}
	from.dispatcher.options.OnPrefill = func(prompt peer.PrefillSample) {
		report(peer.RegionLoads{PrefillSamples: []peer.PrefillSample{prompt}})
	}
}

// chainOf returns a chain of one shared prefix.
func chainOf(name string, tokens int) []placement.Link {
	return []placement.Link{{Hash: placement.Hash(name), Tokens: tokens}}
}

// longRequest changes a request to one with a long prompt.
func longRequest(r *Request) {
	r.PromptTokens = longPrompt
	r.PrefixChain = chainOf("shared", 500)
}

// TestSimultaneousPromptsUseDifferentReplicas checks that if two gateways select the same
// replica at the same moment, one of them selects another replica.
func TestSimultaneousPromptsUseDifferentReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newGatewayPair(t, "a", "b")
		var requests sync.WaitGroup
		for _, f := range []*fixture{pair.first, pair.second} {
			requests.Go(func() {
				if _, requestErr := f.serve(longRequest); requestErr != nil {
					t.Errorf("request rejected: %v", requestErr)
				}
			})
		}
		requests.Wait()
		attempted := slices.Concat(pair.first.attemptedReplicas(), pair.second.attemptedReplicas())
		slices.Sort(attempted)
		if strings.Join(attempted, ",") != "a,b" {
			t.Errorf("attempts at %v, want one at each replica", attempted)
		}
		for _, f := range []*fixture{pair.first, pair.second} {
			if counts := f.dispatcher.Counts(); counts.Attempts != 1 || counts.Retries != 0 {
				t.Errorf("counts %+v, want one attempt and no retry", counts)
			}
		}
	})
}

// TestCanceledPlacementLeavesNoBacklog checks that the prompt of a canceled placement is
// removed from the replica's backlog at both gateways.
func TestCanceledPlacementLeavesNoBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newGatewayPair(t, "a", "b")
		var requests sync.WaitGroup
		for _, f := range []*fixture{pair.first, pair.second} {
			requests.Go(func() { f.serve(longRequest) })
		}
		requests.Wait()
		time.Sleep(10 * announcementDelay)
		for _, f := range []*fixture{pair.first, pair.second} {
			f.dispatcher.mutex.Lock()
			for id, r := range f.dispatcher.replicas {
				if remaining := r.backlog.remaining(time.Now()); remaining > time.Duration(1.5*prefillWork(longPrompt, 0)*float64(time.Second)) {
					t.Errorf("gateway %s has a backlog of %v for replica %s, want at most one prompt", f.dispatcher.options.Gateway, remaining, id)
				}
			}
			f.dispatcher.mutex.Unlock()
		}
	})
}

// TestAnnouncedPromptPrecedence checks which of two conflicting prompts takes precedence.
func TestAnnouncedPromptPrecedence(t *testing.T) {
	tests := map[string]struct {
		other announcedPrompt
		want  bool
	}{
		"longer":             {announcedPrompt{gateway: 9, prefill: 2 * time.Second}, true},
		"shorter":            {announcedPrompt{gateway: 1, prefill: time.Millisecond}, false},
		"equal, lower key":   {announcedPrompt{gateway: 1, prefill: time.Second}, true},
		"equal, higher key":  {announcedPrompt{gateway: 9, prefill: time.Second}, false},
		"canceled, negative": {announcedPrompt{gateway: 1, prefill: -time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.other.precedes(time.Second, 5); got != test.want {
				t.Errorf("precedes() = %v", got)
			}
		})
	}
}

// TestShortPromptsAreSentWithoutDelay checks that a prompt with a prefill shorter than
// minConfirmedPrefill skips the confirmation of its placement and is sent without delay.
func TestShortPromptsAreSentWithoutDelay(t *testing.T) {
	f := newFixture(t)
	f.configure(withPrompts)
	f.addReplica("a", "east-1")
	short := &transaction{dispatcher: f.dispatcher}
	attempt := &placedAttempt{load: &attemptLoad{estimate: referencePrefill(minConfirmedPrefill / 2)}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got, requestErr := short.confirmPlacement(ctx, attempt); got != attempt || requestErr != nil {
		t.Errorf("confirmPlacement() = %v, %v; want the same attempt", got, requestErr)
	}
}

// TestPrefixesAnnouncedByOtherGateways checks that a request is sent to the replica at which
// another gateway has placed a prompt with the same prefix, for each of several replicas.
func TestPrefixesAnnouncedByOtherGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d", "e"}
		for _, holder := range names {
			pair := newGatewayPair(t, names...)
			pair.second.dispatcher.HandleRegionLoads(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{
				{Replica: peer.NewReplicaKey(holder), Prefixes: placement.Hashes(chainOf("shared", 9000))},
			}})
			pair.second.serve(func(r *Request) {
				r.PromptTokens = 9500
				r.PrefixChain = chainOf("shared", 9000)
			})
			if attempted := pair.second.attemptedReplicas(); len(attempted) != 1 || attempted[0] != holder {
				t.Errorf("attempts at %v, want one at %s, which has the prefix in its cache", attempted, holder)
			}
		}
	})
}

// TestPrefillSamplesFromOtherGateways checks that a sample of one gateway updates the
// slowdown of the replica at both gateways.
func TestPrefillSamplesFromOtherGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newGatewayPair(t, "a")
		pair.first.respond = func(context.Context, *Attempt) (*Response, error) {
			time.Sleep(120 * time.Millisecond)
			return events("id: 1\ndata: x\n\n", nil), nil
		}
		pair.first.serve(func(r *Request) { r.PromptTokens = 3000 })
		time.Sleep(10 * announcementDelay)
		for _, f := range []*fixture{pair.first, pair.second} {
			if status := f.dispatcher.Replicas()[0]; status.Slowness < 1.2 {
				t.Errorf("gateway %s: slowdown %.2f after a prefill that took twice the expected time, want at least 1.2", f.dispatcher.options.Gateway, status.Slowness)
			}
		}
	})
}

// referencePrefill returns an estimate with the initial prefill model.
func referencePrefill(work float64) prefillEstimate {
	return prefillEstimate{work: work, model: prefillModel{overhead: initialOverhead, factor: 1}}
}

// TestPrefillSampleConditions checks which prefills are used as samples of a replica's speed:
// none whose time may depend on other prompts or on cached tokens that are not known.
func TestPrefillSampleConditions(t *testing.T) {
	certain := referencePrefill(0.2)
	certain.certain = true
	short := referencePrefill(minSampledPrefill * 0.9)
	short.certain = true
	tests := map[string]struct {
		estimate prefillEstimate
		backlog  time.Duration
		took     time.Duration
		joined   bool    // another prompt was placed at the replica during the prefill
		want     float64 // slowdown, 0 if the prefill is not a sample
	}{
		"alone":                    {certain, 0, 312 * time.Millisecond, false, 1.5},
		"short":                    {short, 0, time.Second, false, 0},
		"behind another":           {certain, 100 * time.Millisecond, time.Second, false, 0},
		"joined by another":        {certain, 0, time.Second, true, 0},
		"fast, perhaps cached":     {referencePrefill(0.2), 0, 60 * time.Millisecond, false, 0},
		"slow, perhaps cached":     {referencePrefill(0.2), 0, 312 * time.Millisecond, false, 1.5},
		"fast, certainly uncached": {certain, 0, 152 * time.Millisecond, false, 0.7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			r := newReplica("a")
			r.addPrompt(now, test.backlog)
			load := r.addAttempt(now, test.estimate, 0)
			if test.joined {
				r.addPrompt(now, time.Millisecond)
			}
			took, sampled := load.recordFirstEvent(now.Add(test.took))
			got := 0.0
			if sampled {
				got = (took - initialOverhead) / test.estimate.seconds()
			}
			if got < test.want-0.01 || got > test.want+0.01 {
				t.Errorf("sampled slowdown %.3f, want %.3f", got, test.want)
			}
			if again, sampled := load.recordFirstEvent(now.Add(time.Hour)); sampled {
				t.Errorf("a second call returned another sample, %.2f s", again)
			}
		})
	}
}

// TestSlowdownEstimate checks that the slowdown converges and stays within its bounds.
func TestSlowdownEstimate(t *testing.T) {
	r := newReplica("a")
	for range 4 {
		r.observeSlowdown(1.3)
	}
	if r.slowdown < 1.2 || r.slowdown > 1.3 {
		t.Errorf("slowdown %.3f after four samples of 1.3", r.slowdown)
	}
	r.observeSlowdown(100)
	if r.slowdown > maxSlowdown {
		t.Errorf("slowdown %.3f after one sample of 100", r.slowdown)
	}
}

// TestLongWaitIsRejected checks that a request is rejected if the backlog would make it late,
// but not if only its own prefill would.
func TestLongWaitIsRejected(t *testing.T) {
	tests := map[string]waitingCase{
		"idle":                                  {0, 2000, false},
		"in time":                               {800 * time.Millisecond, 2000, false},
		"late because of the backlog":           {1100 * time.Millisecond, 2000, true},
		"long, idle":                            {0, 60_000, false},
		"long, short wait":                      {200 * time.Millisecond, 60_000, false},
		"long, long wait":                       {400 * time.Millisecond, 60_000, true},
		"in time alone, not behind the backlog": {700 * time.Millisecond, 30_000, true},
		"in time behind the backlog":            {200 * time.Millisecond, 30_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkWaiting(t, test) })
		})
	}
}

// TestRetryIsNotRejectedForWaiting checks that a request whose first attempt may have run is
// not rejected because of a long wait: a late response is better than none.
func TestRetryIsNotRejectedForWaiting(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprint("response started ", started), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRetry(t, started) })
		})
	}
}

func checkRetry(t *testing.T, started bool) {
	t.Helper()
	f := newFixture(t)
	f.configure(func(route *routemap.Route, service *routemap.Service) {
		withPrompts(route, service)
		route.Resumable = true
	})
	for _, name := range []string{"a", "b"} {
		f.addReplica(name, "east-1")
	}
	f.respond = func(context.Context, *Attempt) (*Response, error) { return events("id: 1\ndata: x\n\n", nil), nil }
	f.fillRetryBudget()
	busy := func(name string) peer.PlacedPrompt {
		return peer.PlacedPrompt{Replica: peer.NewReplicaKey(name), PrefillMS: 1500}
	}
	f.respond = func(context.Context, *Attempt) (*Response, error) {
		f.dispatcher.HandleRegionLoads(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{busy("a"), busy("b")}})
		switch {
		case len(f.attemptedReplicas()) > 1:
			return events("id: 2\ndata: y\n\n", nil), nil
		case started:
			return events("id: 1\ndata: x\n\n", errReset), nil
		default:
			return nil, attemptError(FailureIndeterminate)
		}
	}
	client, requestErr := f.serve(nil)
	if requestErr != nil || len(f.attemptedReplicas()) != 2 || !strings.HasSuffix(client.body.String(), "data: y\n\n") {
		t.Errorf("error %v, response body %q, attempts at %v; want a second attempt that is served", requestErr, client.body.String(), f.attemptedReplicas())
	}
}

// waitingCase describes a request that arrives while the only replica has a backlog.
type waitingCase struct {
	backlog  time.Duration
	tokens   float64
	rejected bool
}

func checkWaiting(t *testing.T, test waitingCase) {
	t.Helper()
	f := newFixture(t)
	f.configure(withPrompts)
	f.addReplica("a", "east-1")
	f.respond = func(context.Context, *Attempt) (*Response, error) { return events("id: 1\ndata: x\n\n", nil), nil }
	f.dispatcher.HandleRegionLoads(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{{Replica: peer.NewReplicaKey("a"), PrefillMS: int(test.backlog.Milliseconds())}}})
	_, requestErr := f.serve(func(r *Request) { r.PromptTokens = test.tokens })
	if rejected := requestErr != nil; rejected != test.rejected {
		t.Errorf("rejected: %v, with error %v", rejected, requestErr)
	}
	if requestErr != nil && (requestErr.Code != CodeOverloaded || requestErr.RetryAfter == 0 || len(f.attemptedReplicas()) > 0) {
		t.Errorf("error %+v after attempts at %v, want CodeOverloaded without an attempt", requestErr, f.attemptedReplicas())
	}
}
