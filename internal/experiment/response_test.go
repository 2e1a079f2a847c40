package experiment

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
)

// TestColdReplicasStayWithinSlowStartLimit runs the cold experiment in the fake time of a
// synctest bubble: real routers, and replicas that all restart cold under the profile's
// load.
func TestColdReplicasStayWithinSlowStartLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response, err := RunResponse(t.Context(), "georgia", DisturbCold, 1)
		if err != nil {
			t.Fatal(err)
		}
		seenCold := 0
		for _, sample := range response.Samples {
			seenCold = max(seenCold, sample.Cold)
			// Each gateway may have sent one request before it knew of the restart.
			if sample.ColdInFlight > sample.ColdLimit+gatewaysPerRegion {
				t.Errorf("at %v: %d in flight on a cold replica, its ramp is %d", sample.At, sample.ColdInFlight, sample.ColdLimit)
			}
			if sample.Cold > 0 && sample.At < disturbanceStart {
				t.Errorf("at %v: a replica is cold before the restart", sample.At)
			}
		}
		if seenCold != 4 {
			t.Errorf("%d replicas were seen cold, want the 4 that were restarted", seenCold)
		}
		if last := response.Samples[len(response.Samples)-1]; last.Cold != 0 {
			t.Errorf("%d replicas are cold at the end", last.Cold)
		}
		const rate = 38
		sent := rate * responseDuration.Seconds()
		counted := float64(response.Answers + response.Refusals + response.Failures)
		if counted < 0.9*sent || counted > 1.1*sent {
			t.Errorf("%.0f requests counted, about %.0f were sent", counted, sent)
		}
		path := filepath.Join(t.TempDir(), "cold.svg")
		if err := PlotResponse(path, response); err != nil {
			t.Fatal(err)
		}
		drawn, err := os.ReadFile(path)
		if err != nil || !bytes.Contains(drawn, []byte("its ramp")) {
			t.Errorf("the figure shows no ramp (%v)", err)
		}
	})
}

// TestReactions checks the reactions of synthetic values with a set point of 0.8.
func TestReactions(t *testing.T) {
	const steady = 0.5
	cases := []struct {
		name     string
		value    func(after time.Duration) float64
		want     Reaction
		settling time.Duration
	}{
		{"never above", func(time.Duration) float64 { return 0.7 }, Reaction{Peak: 0.7, Settled: true}, 0},
		{"above by less than the tolerance", func(time.Duration) float64 { return 0.84 }, Reaction{Peak: 0.84, Overshoot: 0.05, Settled: true}, 0},
		{"above for 10 s", func(after time.Duration) float64 {
			if after < 10*time.Second {
				return 1.2
			}
			return 0.6
		}, Reaction{Peak: 1.2, Overshoot: 0.5, Settled: true}, 10 * time.Second},
		{"above to the end", func(time.Duration) float64 { return 1.6 }, Reaction{Peak: 1.6, Overshoot: 1}, responseDuration - disturbanceStart},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			response := syntheticResponse(func(at time.Duration) float64 {
				if at < disturbanceStart {
					return steady
				}
				return test.value(at - disturbanceStart)
			})
			got := response.Reactions()[0]
			same := math.Abs(got.Peak-test.want.Peak) < 1e-6 && math.Abs(got.Overshoot-test.want.Overshoot) < 1e-6 &&
				got.Settled == test.want.Settled && math.Abs(got.Before-steady) < 1e-6
			if !same {
				t.Errorf("%+v, want %+v", got, test.want)
			}
			if late := got.Settling - test.settling; late < -sampleInterval || late > smoothingSamples*sampleInterval {
				t.Errorf("settled after %v, want %v", got.Settling, test.settling)
			}
		})
	}
}

// syntheticResponse returns samples of a region with the given utilization over time and
// a set point of 0.8.
func syntheticResponse(utilization func(at time.Duration) float64) *Response {
	response := &Response{Regions: []string{"north"}, Limits: catalog.Limits{TargetUtilization: 0.8, FirstTokenMS: 920}}
	for at := time.Duration(0); at < responseDuration; at += sampleInterval {
		response.Samples = append(response.Samples, Sample{At: at, Utilization: map[string]float64{"north": utilization(at)}})
	}
	return response
}
