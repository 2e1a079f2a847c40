package experiment

import (
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// utilizationSample is the number of requests that the mean cost is taken over.
const utilizationSample = 20_000

// Utilization is the part of the model replicas' capacity that a profile's
// traffic needs at best: if every shared prefix were cached, all slots were
// filled and all replicas were used evenly. It does not depend on any policy.
func Utilization(profile *workload.Profile, parameters emulator.Parameters) float64 {
	fullStep := parameters.DecodeStepMS + float64(parameters.Slots-1)*parameters.DecodeSequenceMS
	secondsPerToken := fullStep / 1000 / float64(parameters.Slots)
	generator := workload.New(profile, nil, 1, "utilization")
	work := 0.0
	var last workload.Request
	for range utilizationSample {
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
