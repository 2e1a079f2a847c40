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

// TestColdReplicasStayWithinSlowStartLimit runs the cold-restart experiment in the fake time
// of a synctest bubble: real routers, and the replicas of the largest region, which all
// restart cold under the load of the profile. It guards against gateways that overload
// replicas which have restarted with an empty cache: their requests in flight must stay
// within the slow-start limit.
func TestColdReplicasStayWithinSlowStartLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response, err := RunResponse(t.Context(), "georgia", DisturbCold, 1)
		if err != nil {
			t.Fatal(err)
		}
		seenCold := 0
		for _, sample := range response.Samples {
			seenCold = max(seenCold, sample.Cold)
			// Each gateway may have sent one request before it detected the restart.
			if sample.ColdInFlight > sample.ColdLimit+gatewaysPerRegion {
				t.Errorf("at %v: %d requests in flight on a cold replica, above its slow-start limit of %d", sample.At, sample.ColdInFlight, sample.ColdLimit)
			}
			if sample.Cold > 0 && sample.At < disturbanceStart {
				t.Errorf("at %v: a replica is cold before the disturbance", sample.At)
			}
		}
		if seenCold != 4 {
			t.Errorf("at most %d replicas were cold at once, want the 4 that were restarted", seenCold)
		}
		if last := response.Samples[len(response.Samples)-1]; last.Cold != 0 {
			t.Errorf("%d replicas are still cold at the end of the run", last.Cold)
		}
		const rate = 38
		sent := rate * responseDuration.Seconds()
		counted := float64(response.Answers + response.Refusals + response.Failures)
		if counted < 0.9*sent || counted > 1.1*sent {
			t.Errorf("%.0f requests counted, want about %.0f, as many as were sent", counted, sent)
		}
		path := filepath.Join(t.TempDir(), "cold.svg")
		if err := PlotResponse(path, response); err != nil {
			t.Fatal(err)
		}
		drawn, err := os.ReadFile(path)
		if err != nil || !bytes.Contains(drawn, []byte("its ramp")) {
			t.Errorf("the figure does not contain the series of the slow-start limit (error %v)", err)
		}
	})
}

// TestReactions checks the reactions computed from synthetic utilization values with a set
// point of 0.8.
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
		{"above until the end", func(time.Duration) float64 { return 1.6 }, Reaction{Peak: 1.6, Overshoot: 1}, responseDuration - disturbanceStart},
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
				t.Errorf("got reaction %+v, want %+v", got, test.want)
			}
			if late := got.Settling - test.settling; late < -sampleInterval || late > smoothingSamples*sampleInterval {
				t.Errorf("settling time is %v, want about %v", got.Settling, test.settling)
			}
		})
	}
}

// syntheticResponse returns a response with samples of one region, whose utilization is
// given as a function of time and has a set point of 0.8.
func syntheticResponse(utilization func(at time.Duration) float64) *Response {
	response := &Response{Regions: []string{"north"}, Limits: catalog.Limits{TargetUtilization: 0.8, FirstTokenMS: 920}}
	for at := time.Duration(0); at < responseDuration; at += sampleInterval {
		response.Samples = append(response.Samples, Sample{At: at, Utilization: map[string]float64{"north": utilization(at)}})
	}
	return response
}
