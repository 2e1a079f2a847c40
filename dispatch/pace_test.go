package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestThePaceIsLearnt: whatever the engines, a hundred prompts tell their pace, also
// if some replicas are slow and some prompts were held without anybody's knowledge.
func TestThePaceIsLearnt(t *testing.T) {
	engines := map[string]pace{
		"reference":      {start: firstStart, factor: 1},
		"quick":          {start: 0.028, factor: 0.37},
		"very quick":     {start: 0.005, factor: 0.1},
		"slow":           {start: 0.05, factor: 3},
		"far from first": {start: 0.15, factor: 1.4},
	}
	for name, engine := range engines {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				random := rand.New(rand.NewPCG(seed, 5))
				learner := newPaceLearner()
				for range 150 {
					work := 0.02 + 0.4*math.Pow(random.Float64(), 3)
					took := engine.start + engine.factor*work*(0.95+0.1*random.Float64())
					switch chance := random.Float64(); {
					case chance < 0.1:
						took *= 3.5 // a slow replica
					case chance < 0.15:
						took = engine.start // it held all of it
					}
					learner.learn(work, took)
				}
				for _, work := range []float64{0.05, 0.2} {
					want := engine.start + engine.factor*work
					got := learner.now.start + learner.now.factor*work
					if got < 0.8*want || got > 1.35*want {
						t.Errorf("seed %d: %.3f s for %.2f of work, want %.3f: %+v", seed, got, work, want, learner.now)
					}
				}
			}
		})
	}
}

// TestThePaceStaysInBounds: prompts that are all alike, or absurd, leave a line.
func TestThePaceStaysInBounds(t *testing.T) {
	for _, took := range []float64{0, 1e-9, 1e9, math.MaxFloat64 / 1e10} {
		learner := newPaceLearner()
		for range 1000 {
			learner.learn(0.05, took)
		}
		now := learner.now
		bounded := now.factor >= leastFactor && now.factor <= mostFactor && now.start >= 0 && now.start <= longestStart
		if !bounded {
			t.Errorf("%v seconds each: %+v", took, now)
		}
	}
}

// TestTheFirstPromptIsSafe: one measured prompt moves the pace, and not beyond it.
func TestTheFirstPromptIsSafe(t *testing.T) {
	for _, factor := range []float64{0.3, 3} {
		learner := newPaceLearner()
		learner.learn(0.2, firstStart+factor*0.2)
		if got := learner.now.factor; (got-1)*(factor-1) <= 0 || math.Abs(got-1) > math.Abs(factor-1) {
			t.Errorf("a factor of %.2f after one prompt of %.1f", got, factor)
		}
	}
}

// TestDistancesFollowWhatIsMeasured: a short trip soon, a longer one with patience,
// and one that waited somewhere hardly.
func TestDistancesFollowWhatIsMeasured(t *testing.T) {
	const guess = 40 * time.Millisecond
	tests := map[string]struct {
		took  []time.Duration
		least time.Duration
		most  time.Duration
	}{
		"none":            {nil, guess, guess},
		"near":            {repeat(5*time.Millisecond, 8), 5 * time.Millisecond, 6 * time.Millisecond},
		"far":             {repeat(160*time.Millisecond, 60), 140 * time.Millisecond, 160 * time.Millisecond},
		"one that waited": {append(repeat(guess, 5), time.Minute), guess, 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDistances()
			for _, took := range test.took {
				d.note("zone", guess, took)
			}
			if got := d.to("zone", guess); got < test.least || got > test.most {
				t.Errorf("got %v, want %v to %v", got, test.least, test.most)
			}
		})
	}
}

func repeat(value time.Duration, count int) []time.Duration {
	values := make([]time.Duration, count)
	for i := range values {
		values[i] = value
	}
	return values
}
