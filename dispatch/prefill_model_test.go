package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestPrefillModelConverges checks that 150 samples suffice to estimate the model of various
// engines, even if some samples come from slow replicas or from prompts that were cached
// without the gateway's knowledge.
func TestPrefillModelConverges(t *testing.T) {
	engines := map[string]prefillModel{
		"reference":     {overhead: initialOverhead, factor: 1},
		"fast":          {overhead: 0.028, factor: 0.37},
		"very fast":     {overhead: 0.005, factor: 0.1},
		"slow":          {overhead: 0.05, factor: 3},
		"high overhead": {overhead: 0.15, factor: 1.4},
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
						t.Errorf("seed %d: predicted %.3f s for work of %.2f s, want %.3f s; model %+v", seed, got, work, want, estimator.model)
					}
				}
			}
		})
	}
}

// TestPrefillModelStaysInBounds checks that the model stays within its bounds if all samples
// are equal, also if their time is extreme.
func TestPrefillModelStaysInBounds(t *testing.T) {
	for _, took := range []float64{0, 1e-9, 1e9, math.MaxFloat64 / 1e10} {
		estimator := newPrefillEstimator()
		for range 1000 {
			estimator.observe(0.05, took)
		}
		now := estimator.model
		bounded := now.factor >= minPrefillFactor && now.factor <= maxPrefillFactor && now.overhead >= 0 && now.overhead <= maxOverhead
		if !bounded {
			t.Errorf("model after samples of %v s: %+v, want one within the bounds", took, now)
		}
	}
}

// TestFirstPrefillSampleDoesNotOvershoot checks that one sample changes the factor towards
// the true one, and not beyond it.
func TestFirstPrefillSampleDoesNotOvershoot(t *testing.T) {
	for _, factor := range []float64{0.3, 3} {
		estimator := newPrefillEstimator()
		estimator.observe(0.2, initialOverhead+factor*0.2)
		if got := estimator.model.factor; (got-1)*(factor-1) <= 0 || math.Abs(got-1) > math.Abs(factor-1) {
			t.Errorf("factor %.2f after one sample of engines with factor %.1f", got, factor)
		}
	}
}
