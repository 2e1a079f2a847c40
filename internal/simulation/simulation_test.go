package simulation

import "testing"

func TestTrial(t *testing.T) {
	total := map[FaultKind]int{}
	bad := 0
	var ans, com, el, steps int
	for seed := uint64(1); seed <= 3000; seed++ {
		r := Run(seed, Options{})
		for k, n := range r.Faults {
			total[k] += n
		}
		ans += r.Answered
		com += r.Committed
		el += r.Elections
		steps += r.Steps
		if r.Violation != nil {
			bad++
			if bad < 12 {
				t.Errorf("seed %d: %v", seed, r.Violation)
			}
		}
	}
	t.Log(bad, total, ans, com, el, steps)
}
