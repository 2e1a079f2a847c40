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

// newsDelay is the time that news takes between the gateways of these tests.
const newsDelay = time.Millisecond

// longPrompt is read in about half a second, mostly its own part.
const longPrompt = 25_000

// gatewayPair is two gateways of one region that tell each other of their prompts.
type gatewayPair struct {
	first, second *fixture
}

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
		f.answer = func(context.Context, *Attempt) (*Response, error) {
			return events("id: 1\ndata: x\n\n", nil), nil
		}
	}
	tell(pair.first, pair.second)
	tell(pair.second, pair.first)
	return pair
}

func withPrompts(route *routemap.Route, service *routemap.Service) {
	route.Kind = routemap.Stream
	route.FirstEventTarget = time.Second
	service.CacheTokens = 400_000
}

// tell brings one gateway's news to another.
func tell(from, to *fixture) {
	name := from.dispatcher.options.Gateway
	report := func(news peer.RegionLoads) {
		time.AfterFunc(newsDelay, func() { to.dispatcher.Observe(&news) })
	}
	from.dispatcher.options.OnPlaced = func(prompt peer.PlacedPrompt) {
		prompt.Gateway = peer.NewReplicaKey(name)
		report(peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{prompt}})
	}
	from.dispatcher.options.OnPrefill = func(prompt peer.PrefillSample) {
		report(peer.RegionLoads{PrefillSamples: []peer.PrefillSample{prompt}})
	}
}

// chainOf is the chain of one shared part.
func chainOf(name string, tokens int) []placement.Link {
	return []placement.Link{{Hash: placement.Hash(name), Tokens: tokens}}
}

func longRequest(r *Request) {
	r.PromptTokens = longPrompt
	r.PrefixChain = chainOf("shared", 500)
}

// TestPromptsThatComeAtOnceGoApart: two gateways that decide at the same moment
// find the same replica the best, and one of them leaves it to the other.
func TestPromptsThatComeAtOnceGoApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newGatewayPair(t, "a", "b")
		var requests sync.WaitGroup
		for _, f := range []*fixture{pair.first, pair.second} {
			requests.Go(func() {
				if _, refusal := f.serve(longRequest); refusal != nil {
					t.Errorf("refused: %v", refusal)
				}
			})
		}
		requests.Wait()
		asked := slices.Concat(pair.first.replicasAsked(), pair.second.replicasAsked())
		slices.Sort(asked)
		if strings.Join(asked, ",") != "a,b" {
			t.Errorf("asked %v, want each replica once", asked)
		}
		for _, f := range []*fixture{pair.first, pair.second} {
			if counts := f.dispatcher.Counts(); counts.Attempts != 1 || counts.Retries != 0 {
				t.Errorf("counted %+v, want one attempt", counts)
			}
		}
	})
}

// TestAWithdrawnClaimLeavesNoBacklog: the other gateway hears of it too.
func TestAWithdrawnClaimLeavesNoBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newGatewayPair(t, "a", "b")
		var requests sync.WaitGroup
		for _, f := range []*fixture{pair.first, pair.second} {
			requests.Go(func() { f.serve(longRequest) })
		}
		requests.Wait()
		time.Sleep(10 * newsDelay)
		for _, f := range []*fixture{pair.first, pair.second} {
			f.dispatcher.mutex.Lock()
			for id, r := range f.dispatcher.replicas {
				if left := r.backlog.left(time.Now()); left > time.Duration(1.5*readingWork(longPrompt, 0)*float64(time.Second)) {
					t.Errorf("%s holds %v of reading for %s, more than one prompt", f.dispatcher.options.Gateway, left, id)
				}
			}
			f.dispatcher.mutex.Unlock()
		}
	})
}

func TestWhichClaimStands(t *testing.T) {
	tests := map[string]struct {
		other claim
		want  bool
	}{
		"longer":              {claim{gateway: 9, reading: 2 * time.Second}, true},
		"shorter":             {claim{gateway: 1, reading: time.Millisecond}, false},
		"alike, name before":  {claim{gateway: 1, reading: time.Second}, true},
		"alike, name after":   {claim{gateway: 9, reading: time.Second}, false},
		"withdrawn, negative": {claim{gateway: 1, reading: -time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.other.precedes(time.Second, 5); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestShortPromptsAreNotClaimed: they are sent without a wait.
func TestShortPromptsAreNotClaimed(t *testing.T) {
	f := newFixture(t)
	f.configure(withPrompts)
	f.addReplica("a", "east-1")
	r := &run{dispatcher: f.dispatcher}
	at := &placed{work: &work{own: referenceReading(claimedReading / 2)}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got, refusal := r.claim(ctx, at); got != at || refusal != nil {
		t.Errorf("got %v, %v", got, refusal)
	}
}

// TestPrefixesAreShared: what one gateway sent to a replica draws another
// gateway's request there, although it has a choice.
func TestPrefixesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d", "e"}
		for _, holder := range names {
			pair := newGatewayPair(t, names...)
			pair.second.dispatcher.Observe(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{
				{Replica: peer.NewReplicaKey(holder), Prefixes: placement.Hashes(chainOf("shared", 9000))},
			}})
			pair.second.serve(func(r *Request) {
				r.PromptTokens = 9500
				r.PrefixChain = chainOf("shared", 9000)
			})
			if asked := pair.second.replicasAsked(); len(asked) != 1 || asked[0] != holder {
				t.Errorf("asked %v, want %s, which holds the prefix", asked, holder)
			}
		}
	})
}

// TestSpeedsAreShared: what one gateway measured counts at the others.
func TestSpeedsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newGatewayPair(t, "a")
		pair.first.answer = func(context.Context, *Attempt) (*Response, error) {
			time.Sleep(120 * time.Millisecond)
			return events("id: 1\ndata: x\n\n", nil), nil
		}
		pair.first.serve(func(r *Request) { r.PromptTokens = 3000 })
		time.Sleep(10 * newsDelay)
		for _, f := range []*fixture{pair.first, pair.second} {
			if status := f.dispatcher.Replicas()[0]; status.Slowness < 1.2 {
				t.Errorf("%s holds a slowness of %.2f after a reading of twice the time", f.dispatcher.options.Gateway, status.Slowness)
			}
		}
	})
}

// referenceReading is a reading at the pace of the reference replica.
func referenceReading(work float64) reading {
	return reading{work: work, pace: pace{start: firstStart, factor: 1}}
}

// TestWhatTellsOfSpeed: other prompts and unknown caches do not.
func TestWhatTellsOfSpeed(t *testing.T) {
	certain := referenceReading(0.2)
	certain.certain = true
	short := referenceReading(measuredReading * 0.9)
	short.certain = true
	tests := map[string]struct {
		own    reading
		ahead  time.Duration
		took   time.Duration
		joined bool // another prompt was given to the replica meanwhile
		want   float64
	}{
		"alone":                     {certain, 0, 312 * time.Millisecond, false, 1.5},
		"short":                     {short, 0, time.Second, false, 0},
		"behind another":            {certain, 100 * time.Millisecond, time.Second, false, 0},
		"joined by another":         {certain, 0, time.Second, true, 0},
		"quick, perhaps held":       {referenceReading(0.2), 0, 60 * time.Millisecond, false, 0},
		"slow, although held":       {referenceReading(0.2), 0, 312 * time.Millisecond, false, 1.5},
		"quick, and nothing unread": {certain, 0, 152 * time.Millisecond, false, 0.7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			r := newReplica("a")
			r.give(now, test.ahead)
			w := r.take(now, test.own, 0)
			if test.joined {
				r.give(now, time.Millisecond)
			}
			took, measured := w.open(now.Add(test.took))
			got := 0.0
			if measured {
				got = (took - firstStart) / test.own.seconds()
			}
			if got < test.want-0.01 || got > test.want+0.01 {
				t.Errorf("got %.3f, want %.3f", got, test.want)
			}
			if again, measured := w.open(now.Add(time.Hour)); measured {
				t.Errorf("told %.2f a second time", again)
			}
		})
	}
}

func TestSpeedIsLearnt(t *testing.T) {
	r := newReplica("a")
	for range 4 {
		r.learn(1.3)
	}
	if r.slowness < 1.2 || r.slowness > 1.3 {
		t.Errorf("%.3f after four prompts of 1.3", r.slowness)
	}
	r.learn(100)
	if r.slowness > mostSlowness {
		t.Errorf("%.3f after one absurd prompt", r.slowness)
	}
}

// TestWaitingIsRefusedBeforeItMakesLate: a request that would be late for waiting
// is told to come back; one that is long itself is not.
func TestWaitingIsRefusedBeforeItMakesLate(t *testing.T) {
	tests := map[string]waitingCase{
		"idle":                     {0, 2000, false},
		"in time":                  {800 * time.Millisecond, 2000, false},
		"late for waiting":         {1100 * time.Millisecond, 2000, true},
		"long, idle":               {0, 60_000, false},
		"long, short wait":         {200 * time.Millisecond, 60_000, false},
		"long, and a long wait":    {400 * time.Millisecond, 60_000, true},
		"fits alone, not with it":  {700 * time.Millisecond, 30_000, true},
		"fits with what is before": {200 * time.Millisecond, 30_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkWaiting(t, test) })
		})
	}
}

// TestARepeatIsNotRefusedForWaiting: a request whose first attempt broke off cannot
// be told that it has not run, so that a late answer is better than none.
func TestARepeatIsNotRefusedForWaiting(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("begun ", begun), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRepeat(t, begun) })
		})
	}
}

func checkRepeat(t *testing.T, begun bool) {
	t.Helper()
	f := newFixture(t)
	f.configure(func(route *routemap.Route, service *routemap.Service) {
		withPrompts(route, service)
		route.Resumable = true
	})
	for _, name := range []string{"a", "b"} {
		f.addReplica(name, "east-1")
	}
	f.answer = func(context.Context, *Attempt) (*Response, error) { return events("id: 1\ndata: x\n\n", nil), nil }
	f.fillRetryBudget()
	busy := func(name string) peer.PlacedPrompt {
		return peer.PlacedPrompt{Replica: peer.NewReplicaKey(name), PrefillMS: 1500}
	}
	f.answer = func(context.Context, *Attempt) (*Response, error) {
		f.dispatcher.Observe(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{busy("a"), busy("b")}})
		switch {
		case len(f.replicasAsked()) > 1:
			return events("id: 2\ndata: y\n\n", nil), nil
		case begun:
			return events("id: 1\ndata: x\n\n", errReset), nil
		default:
			return nil, attemptError(FailureIndeterminate)
		}
	}
	client, refusal := f.serve(nil)
	if refusal != nil || len(f.replicasAsked()) != 2 || !strings.HasSuffix(client.body.String(), "data: y\n\n") {
		t.Errorf("got %v, %q, asked %v", refusal, client.body.String(), f.replicasAsked())
	}
}

// waitingCase is a request that finds a backlog.
type waitingCase struct {
	backlog time.Duration
	tokens  float64
	refused bool
}

func checkWaiting(t *testing.T, test waitingCase) {
	t.Helper()
	f := newFixture(t)
	f.configure(withPrompts)
	f.addReplica("a", "east-1")
	f.answer = func(context.Context, *Attempt) (*Response, error) { return events("id: 1\ndata: x\n\n", nil), nil }
	f.dispatcher.Observe(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{{Replica: peer.NewReplicaKey("a"), PrefillMS: int(test.backlog.Milliseconds())}}})
	_, refusal := f.serve(func(r *Request) { r.PromptTokens = test.tokens })
	if refused := refusal != nil; refused != test.refused {
		t.Errorf("refused: %v, %v", refused, refusal)
	}
	if refusal != nil && (refusal.Code != CodeOverloaded || refusal.RetryAfter == 0 || len(f.replicasAsked()) > 0) {
		t.Errorf("got %+v, asked %v", refusal, f.replicasAsked())
	}
}
