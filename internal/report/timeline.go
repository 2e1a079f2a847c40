package report

import (
	"fmt"
	"sort"
	"time"
)

// second holds the figures of one second of the run.
type second struct {
	outcomes   map[string]int // of the requests that began in this second
	placements map[string]int // executions by region
	// firstTokens holds the times to the first token, in milliseconds, of the successful
	// requests that began in this second.
	firstTokens []float64
	// version is the newest configuration version among the executions of this second,
	// 0 if there were none.
	version uint64
}

// timeline returns the figures of each second of the run, starting at the first request.
func (s *Summary) timeline() []second {
	if s.End <= s.Start {
		return nil
	}
	count := int((s.End-s.Start)/int64(time.Second)) + 1
	seconds := make([]second, count)
	for i := range seconds {
		seconds[i] = second{outcomes: map[string]int{}, placements: map[string]int{}}
	}
	for _, request := range s.Requests {
		at := &seconds[s.secondOf(request.At, count)]
		at.outcomes[request.Outcome]++
		if request.Outcome == OutcomeSuccess {
			at.firstTokens = append(at.firstTokens, request.FirstTokenMS)
		}
	}
	for _, executed := range s.executions {
		if executed.At < s.Start {
			continue
		}
		at := &seconds[s.secondOf(executed.At, count)]
		at.placements[s.regionOf(executed)]++
		at.version = max(at.version, executed.Version)
	}
	return seconds
}

// secondOf returns the index of the second that contains a time, at most count-1.
func (s *Summary) secondOf(at int64, count int) int {
	return min(count-1, max(0, int((at-s.Start)/int64(time.Second))))
}

// Colors of markers.
const (
	faultColor     = "#c8553d"
	operationColor = "#3566a8"
)

// markers returns a marker for each fault and each acknowledged operation of the run.
func (s *Summary) markers() []marker {
	var list []marker
	add := func(at int64, label, color string) {
		if at >= s.Start && at <= s.End {
			list = append(list, marker{at: float64(at-s.Start) / float64(time.Second), label: label, color: color})
		}
	}
	for _, fault := range s.Faults {
		add(fault.At, fault.Detail+" "+fault.Target, faultColor)
	}
	for _, answer := range s.Acknowledgements {
		add(answer.At, fmt.Sprintf("%s acknowledged (%s)", answer.Detail, answer.Operation), operationColor)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}
