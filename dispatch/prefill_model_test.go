package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestPrefillModelConverges checks that 150 samples suffice to learn the model of any
// engines, even if some replicas are slow and some prompts were cached without any
// gateway's knowledge.
func TestPrefillModelConverges(t *testing.T) {
	engines := map[string]prefillModel{
		"reference":      {overhead: initialOverhead, factor: 1},
		"quick":          {overhead: 0.028, factor: 0.37},
		"very quick":     {overhead: 0.005, factor: 0.1},
		"slow":           {overhead: 0.05, factor: 3},
		"far from first": {overhead: 0.15, factor: 1.4},
	}
	for name, engine := range engines {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				random := rand.New(rand.NewPCG(seed, 5))
				estimator := newPrefillEstimator()
				for range 150 {
					work := 0.02 + 0.4*math.Pow(random.Float64(), 3)
					took := engine.overhead + engine.factor*work*(0.95+0.1*random.Float64())
					switch chance := random.Float64(); {
					case chance < 0.1:
						took *= 3.5 // a slow replica
					case chance < 0.15:
						took = engine.overhead // the whole prompt was cached
					}
					estimator.observe(work, took)
				}
				for _, work := range []float64{0.05, 0.2} {
					want := engine.overhead + engine.factor*work
					got := estimator.model.overhead + estimator.model.factor*work
					if got < 0.8*want || got > 1.35*want {
						t.Errorf("seed %d: %.3f s for %.2f of work, want %.3f: %+v", seed, got, work, want, estimator.model)
					}
				}
			}
		})
	}
}

// TestPrefillModelStaysInBounds checks samples that are all alike, or out of all bounds.
func TestPrefillModelStaysInBounds(t *testing.T) {
	for _, took := range []float64{0, 1e-9, 1e9, math.MaxFloat64 / 1e10} {
		estimator := newPrefillEstimator()
		for range 1000 {
			estimator.observe(0.05, took)
		}
		now := estimator.model
		bounded := now.factor >= minPrefillFactor && now.factor <= maxPrefillFactor && now.overhead >= 0 && now.overhead <= maxOverhead
		if !bounded {
			t.Errorf("%v seconds each: %+v", took, now)
		}
	}
}

// TestFirstPrefillSampleDoesNotOvershoot checks that one sample moves the model towards
// the engines, and not beyond them.
func TestFirstPrefillSampleDoesNotOvershoot(t *testing.T) {
	for _, factor := range []float64{0.3, 3} {
		estimator := newPrefillEstimator()
		estimator.observe(0.2, initialOverhead+factor*0.2)
		if got := estimator.model.factor; (got-1)*(factor-1) <= 0 || math.Abs(got-1) > math.Abs(factor-1) {
			t.Errorf("a factor of %.2f after one prompt of %.1f", got, factor)
		}
	}
}
