package workload

import "time"

// forever is the end of a phase that lasts until the end of the run.
const forever time.Duration = 1 << 62

// Phase changes the traffic from Start (inclusive) to End (exclusive), both relative to
// the start of the load. The factors of overlapping phases multiply; a factor of 0
// leaves the value unchanged.
type Phase struct {
	Start, End time.Duration
	// RateFactor multiplies the arrival rate.
	RateFactor float64
	// PromptFactor and AnswerFactor multiply lengths in tokens.
	PromptFactor float64
	AnswerFactor float64
	// LongFactor multiplies the rate of requests of the class long only.
	LongFactor float64
	// ClientShares replaces the client shares of the named regions. The last of
	// several overlapping phases that set it applies.
	ClientShares map[string]float64
}

// Scenario lists the phases that change a profile's steady traffic.
type Scenario []Phase

// Step multiplies the arrival rate by factor from start to the end of the run.
func Step(start time.Duration, factor float64) Scenario {
	return Scenario{{Start: start, End: forever, RateFactor: factor}}
}

// FlashCrowd multiplies the arrival rate by factor for the given length of time.
func FlashCrowd(start, length time.Duration, factor float64) Scenario {
	return Scenario{{Start: start, End: start + length, RateFactor: factor}}
}

// AlternateLengths alternates between long prompts with short answers and short prompts
// with long answers, each for half a period, from start to end. Long means multiplied
// by factor, short divided by it.
func AlternateLengths(start, period, end time.Duration, factor float64) Scenario {
	var scenario Scenario
	half := period / 2
	for at := start; at < end; at += period {
		scenario = append(scenario,
			Phase{Start: at, End: min(at+half, end), PromptFactor: factor, AnswerFactor: 1 / factor},
			Phase{Start: min(at+half, end), End: min(at+period, end), PromptFactor: 1 / factor, AnswerFactor: factor},
		)
	}
	return scenario
}

// ShiftClients moves all clients of one region to another from start to end.
func ShiftClients(start, end time.Duration, profile *Profile, from, to string) Scenario {
	shares := map[string]float64{from: 0}
	for _, region := range profile.Regions {
		if region.Name == from {
			shares[to] += region.ClientShare
		}
		if region.Name == to {
			shares[to] += region.ClientShare
		}
	}
	return Scenario{{Start: start, End: end, ClientShares: shares}}
}
