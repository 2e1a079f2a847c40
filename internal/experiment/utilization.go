package experiment

import (
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// utilizationSampleSize is the number of generated requests from which Utilization
// computes the mean cost.
const utilizationSampleSize = 20_000

// Utilization returns the fraction of the model replicas' capacity that the traffic of a
// profile needs in the best case: every prefix is cached, all slots are in use and all
// replicas are equally loaded. It does not depend on the placement policy.
func Utilization(profile *workload.Profile, parameters emulator.Parameters) float64 {
	fullStep := parameters.DecodeStepMS + float64(parameters.Slots-1)*parameters.DecodeSequenceMS
	secondsPerToken := fullStep / 1000 / float64(parameters.Slots)
	generator := workload.New(profile, nil, 1, "utilization")
	work := 0.0
	var last workload.Request
	for range utilizationSampleSize {
		last = generator.Next()
		if last.Generate.Class == api.ClassFetch {
			continue
		}
		work += float64(last.Generate.PromptTokens)/parameters.PrefillTokensPerSecond +
			float64(last.Generate.MaxTokens)*secondsPerToken
	}
	replicas := 0
	for _, region := range profile.Regions {
		replicas += region.ModelReplicas
	}
	return work / last.At.Seconds() / float64(replicas)
}
