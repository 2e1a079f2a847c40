package emulator

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/deckpulley/deckpulley/api"
)

// deterministicParameters returns parameters of a model without jitter.
func deterministicParameters() Parameters {
	parameters := DefaultParameters(KindModel)
	parameters.Jitter = 0
	parameters.PrefillTokensPerSecond = 20_000
	parameters.PrefillChunkTokens = 512
	return parameters
}

// runUntilIdle advances a replica until it is idle and returns the events.
func runUntilIdle(replica Replica) []Event {
	var events []Event
	for {
		next, pending := replica.NextEvent()
		if !pending {
			return events
		}
		events = append(events, replica.Advance(next)...)
	}
}

// prefixChain returns prefixes with the given ids and 1000 tokens each.
func prefixChain(ids ...string) []api.Prefix {
	prefixes := make([]api.Prefix, len(ids))
	for index, id := range ids {
		prefixes[index] = api.Prefix{ID: id, Tokens: 1000}
	}
	return prefixes
}

func TestModelLatency(t *testing.T) {
	cases := []struct {
		name       string
		cold       bool
		earlier    [][]api.Prefix
		prefixes   []api.Prefix
		cached     int
		firstToken time.Duration
		end        time.Duration
	}{
		{"nothing cached", false, nil, prefixChain("a", "b"), 0, 105 * time.Millisecond, 117 * time.Millisecond},
		{"all cached", false, [][]api.Prefix{prefixChain("a", "b")}, prefixChain("a", "b"), 2000, 5 * time.Millisecond, 17 * time.Millisecond},
		{"common first prefix", false, [][]api.Prefix{prefixChain("a", "b")}, prefixChain("a", "c"), 1000, 55 * time.Millisecond, 67 * time.Millisecond},
		{"same id below another parent", false, [][]api.Prefix{prefixChain("a", "b")}, prefixChain("c", "b"), 0, 105 * time.Millisecond, 117 * time.Millisecond},
		{"cold", true, nil, prefixChain("a"), 0, 275 * time.Millisecond, 335 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			replica := New(deterministicParameters(), 1, test.cold)
			for index, prefixes := range test.earlier {
				if err := replica.Submit(0, Job{ID: fmt.Sprint("earlier", index), Prefixes: prefixes, AnswerTokens: 1}); err != nil {
					t.Fatal(err)
				}
				runUntilIdle(replica)
			}
			start := 10 * time.Second
			if err := replica.Submit(start, Job{ID: "job", Prefixes: test.prefixes, PromptTokens: 100, AnswerTokens: 2}); err != nil {
				t.Fatal(err)
			}
			want := []Event{
				{"job", EventToken, start + test.firstToken, 1, test.cached},
				{"job", EventToken, start + test.end, 2, test.cached},
				{"job", EventEnd, start + test.end, 2, test.cached},
			}
			if difference := cmp.Diff(want, runUntilIdle(replica)); difference != "" {
				t.Errorf("events (-want +got):\n%s", difference)
			}
		})
	}
}

func TestDecodeStepTimeGrowsWithBatchSize(t *testing.T) {
	replica := New(deterministicParameters(), 1, false)
	for index := range 16 {
		if err := replica.Submit(0, Job{ID: fmt.Sprint(index), PromptTokens: 1, AnswerTokens: 100}); err != nil {
			t.Fatal(err)
		}
	}
	events := runUntilIdle(replica)
	middle := len(events) / 2
	gap := events[middle+16].At - events[middle].At
	if want := 19500 * time.Microsecond; gap != want {
		t.Errorf("duration of a step with a full batch = %v, want %v", gap, want)
	}
}

func TestCacheEvictsLeastRecentlyUsedLeaf(t *testing.T) {
	parameters := deterministicParameters()
	parameters.CacheTokens = 4500
	replica, ok := New(parameters, 1, false).(*modelReplica)
	if !ok {
		t.Fatal("New did not return a model replica")
	}
	run := func(prefixes ...string) int {
		t.Helper()
		if err := replica.Submit(replica.stepEnd, Job{ID: "job", Prefixes: prefixChain(prefixes...), AnswerTokens: 1}); err != nil {
			t.Fatal(err)
		}
		events := runUntilIdle(replica)
		return events[len(events)-1].CachedTokens
	}
	run("a", "b")
	run("a", "c")
	run("a", "d")
	run("a", "b") // now c is the least recently used leaf
	run("a", "e") // evicts c; a, b and d stay
	for _, step := range []struct {
		leaf string
		want int
	}{{"b", 2000}, {"d", 2000}, {"c", 1000}, {"e", 1000}} {
		if cached := run("a", step.leaf); cached != step.want {
			t.Errorf("cached tokens of a, %s = %d, want %d", step.leaf, cached, step.want)
		}
	}
	if err := replica.Submit(replica.stepEnd, Job{ID: "huge", PromptTokens: 4500, AnswerTokens: 1}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("job larger than the cache: error %v, want ErrTooLarge", err)
	}
}

func TestColdReplicaWarmsUpByRequestsOrTime(t *testing.T) {
	for _, kind := range []Kind{KindModel, KindWeb} {
		parameters := DefaultParameters(kind)
		parameters.WarmRequests = 3
		replica := New(parameters, 1, true)
		for index := range 3 {
			if !replica.State(0).Cold {
				t.Errorf("%s replica is warm after %d answers, want 3", kind, index)
			}
			if err := replica.Submit(0, Job{ID: fmt.Sprint(index), PromptTokens: 1, AnswerTokens: 1}); err != nil {
				t.Fatal(err)
			}
			runUntilIdle(replica)
		}
		if replica.State(0).Cold {
			t.Errorf("%s replica is cold after 3 answers", kind)
		}
		replica.MakeCold(time.Minute)
		if !replica.State(time.Minute + 19*time.Second).Cold {
			t.Errorf("%s replica is warm before warm_seconds have passed", kind)
		}
		if replica.State(time.Minute + 20*time.Second).Cold {
			t.Errorf("%s replica is cold after warm_seconds have passed", kind)
		}
	}
}

// TestAcceptedJobsEndExactlyOnce makes random submissions, cancellations and cold starts,
// for both kinds of replica. It checks the events, and that two replicas with the same
// seed behave identically.
func TestAcceptedJobsEndExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{KindModel, KindWeb}).Draw(t, "kind")
		parameters := DefaultParameters(kind)
		parameters.Slots = 3
		parameters.QueueLength = 2
		parameters.CacheTokens = 6000
		seed := rapid.Uint64().Draw(t, "seed")
		history := &drawnHistory{
			replica:  New(parameters, seed, false),
			twin:     New(parameters, seed, false),
			accepted: make(map[string]int),
			canceled: make(map[string]bool),
		}
		for index := range rapid.IntRange(1, 60).Draw(t, "steps") {
			history.step(t, index)
			if state := history.replica.State(history.now); state.Running > 3 || state.Queued > 5 || state.CacheUsed > 1 {
				t.Fatalf("state out of bounds: %+v", state)
			}
		}
		history.events = append(history.events, runUntilIdle(history.replica)...)
		history.twinEvents = append(history.twinEvents, runUntilIdle(history.twin)...)
		if difference := cmp.Diff(history.twinEvents, history.events); difference != "" {
			t.Fatalf("replicas with the same seed have different events (-twin +replica):\n%s", difference)
		}
		checkEventSequence(t, kind, history.events, history.accepted, history.canceled)
		if model, isModel := history.replica.(*modelReplica); isModel {
			checkCacheAccounting(t, model)
		}
	})
}

// drawnHistory makes the same random calls on two replicas with the same seed and records
// the results.
type drawnHistory struct {
	replica, twin      Replica
	now                time.Duration
	events, twinEvents []Event
	accepted           map[string]int // answer length by job
	canceled           map[string]bool
}

// step advances both replicas by a random time and makes a random call. A submitted job
// has the index as its id.
func (h *drawnHistory) step(t *rapid.T, index int) {
	h.now += time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * time.Millisecond
	h.events = append(h.events, h.replica.Advance(h.now)...)
	h.twinEvents = append(h.twinEvents, h.twin.Advance(h.now)...)
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		victim := fmt.Sprint(rapid.IntRange(0, index).Draw(t, "victim"))
		h.replica.Cancel(h.now, victim)
		h.twin.Cancel(h.now, victim)
		h.canceled[victim] = true
	case 1:
		h.replica.MakeCold(h.now)
		h.twin.MakeCold(h.now)
	default:
		h.submit(t, fmt.Sprint(index))
	}
}

// submit submits a random job and checks that both replicas return the same error.
func (h *drawnHistory) submit(t *rapid.T, id string) {
	job := Job{
		ID:           id,
		Prefixes:     prefixChain("a", rapid.SampledFrom([]string{"b", "c", "d", "e"}).Draw(t, "leaf")),
		PromptTokens: rapid.IntRange(0, 900).Draw(t, "prompt"),
		AnswerTokens: rapid.IntRange(1, 20).Draw(t, "answer"),
	}
	err := h.replica.Submit(h.now, job)
	if twinErr := h.twin.Submit(h.now, job); !errors.Is(twinErr, err) {
		t.Fatalf("replicas with the same seed return different errors: %v and %v", err, twinErr)
	}
	if err == nil {
		h.accepted[id] = job.AnswerTokens
	}
}

// checkEventSequence checks that times do not decrease, that tokens are in order and
// that every accepted job completes exactly once unless it was canceled.
func checkEventSequence(t *rapid.T, kind Kind, events []Event, accepted map[string]int, canceled map[string]bool) {
	tokens := make(map[string]int)
	ended := make(map[string]bool)
	var last time.Duration
	for _, event := range events {
		if event.At < last {
			t.Fatalf("event is earlier than the one before: %+v", event)
		}
		last = event.At
		if ended[event.Job] {
			t.Fatalf("event after the end of its job: %+v", event)
		}
		if event.Kind == EventToken {
			tokens[event.Job]++
			if event.Index != tokens[event.Job] {
				t.Fatalf("token out of order: %+v after token %d", event, tokens[event.Job]-1)
			}
			continue
		}
		ended[event.Job] = true
		complete := event.Index == accepted[event.Job] && (kind == KindWeb || tokens[event.Job] == event.Index)
		if !complete {
			t.Fatalf("job ended without its complete answer: %+v, want %d tokens", event, accepted[event.Job])
		}
	}
	for job := range accepted {
		if !ended[job] && !canceled[job] {
			t.Fatalf("accepted job %s has not ended", job)
		}
	}
}

// checkCacheAccounting compares the used tokens of an idle replica with its tree.
func checkCacheAccounting(t *rapid.T, model *modelReplica) {
	total := 0
	for node := model.cache.list.older; node != &model.cache.list; node = node.older {
		if node.pins != 0 || !node.ready {
			t.Fatalf("idle replica has node %s with %d pins and ready = %v, want none and true", node.id, node.pins, node.ready)
		}
		total += node.tokens
	}
	if total != model.cache.usedTokens || total > model.cache.capacityTokens {
		t.Fatalf("usedTokens = %d, nodes have %d tokens, capacity is %d", model.cache.usedTokens, total, model.cache.capacityTokens)
	}
}
