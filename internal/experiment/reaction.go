package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Reaction describes how a controlled value deviated from its set point after the start of
// the disturbance and whether it returned.
type Reaction struct {
	Value    string
	SetPoint float64
	// Before is the mean over the baselineWindow before the disturbance. Peak is the
	// highest value since the start of the disturbance.
	Before, Peak float64
	// Overshoot is the relative deviation of the peak above the set point. It is 0 if
	// the peak is below the set point.
	Overshoot float64
	// Settling is the time from the start of the disturbance to the last sample that is
	// more than settledTolerance above the set point. Settled is false if that is the
	// case for the last sample of the run.
	Settling time.Duration
	Settled  bool
}

// Reactions returns the reaction of the utilization of each region, and that of the time
// to first token.
func (r *Response) Reactions() []Reaction {
	reactions := make([]Reaction, 0, len(r.Regions)+1)
	for _, region := range r.Regions {
		values := r.smoothedValues(func(s Sample) float64 { return s.Utilization[region] })
		reactions = append(reactions, r.computeReaction("utilization "+region, r.Limits.TargetUtilization, values))
	}
	values := r.smoothedValues(func(s Sample) float64 { return 1000 * s.FirstTokenP95.Seconds() })
	return append(reactions, r.computeReaction("first token p95, ms", float64(r.Limits.FirstTokenMS), values))
}

// smoothedValues returns the moving average of a value, with one element per sample.
func (r *Response) smoothedValues(value func(Sample) float64) []float64 {
	smoothed := make([]float64, len(r.Samples))
	for index := range r.Samples {
		first := max(0, index-smoothingSamples+1)
		for _, sample := range r.Samples[first : index+1] {
			smoothed[index] += value(sample) / float64(index+1-first)
		}
	}
	return smoothed
}

// computeReaction computes the reaction of a value from its smoothed samples and its set point.
func (r *Response) computeReaction(name string, setPoint float64, values []float64) Reaction {
	reaction := Reaction{Value: name, SetPoint: setPoint, Settled: true}
	baselineSamples := 0
	for index, sample := range r.Samples {
		value := values[index]
		if sample.At < disturbanceStart-baselineWindow {
			continue
		}
		if sample.At < disturbanceStart {
			reaction.Before += value
			baselineSamples++
			continue
		}
		reaction.Peak = max(reaction.Peak, value)
		reaction.Settled = value <= setPoint*(1+settledTolerance)
		if !reaction.Settled {
			reaction.Settling = sample.At - disturbanceStart
		}
	}
	reaction.Before /= float64(max(1, baselineSamples))
	reaction.Overshoot = max(0, reaction.Peak/setPoint-1)
	return reaction
}

// WriteResponse writes a table of the reactions and the totals of the run.
func WriteResponse(w io.Writer, r *Response) error {
	fmt.Fprintf(w, "%s, %s: disturbed from %v to %v of %v\n", r.Deployment, r.Disturbance, disturbanceStart, disturbanceEnd, responseDuration)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "value\tset point\tbefore\tpeak\tovershoot\tsettling\t")
	for _, reaction := range r.Reactions() {
		settling := fmt.Sprintf("%.1f s", reaction.Settling.Seconds())
		if !reaction.Settled {
			settling = "not settled"
		}
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.0f%%\t%s\t\n",
			reaction.Value, reaction.SetPoint, reaction.Before, reaction.Peak, 100*reaction.Overshoot, settling)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	var codes strings.Builder
	for code, count := range r.Codes {
		fmt.Fprintf(&codes, " %s %d", code, count)
	}
	_, err := fmt.Fprintf(w, "answers %d, refusals %d (%s ), failures %d, spilled %d\n",
		r.Answers, r.Refusals, codes.String(), r.Failures, r.Spills)
	return err
}
