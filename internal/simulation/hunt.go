package simulation

import "github.com/deckpulley/deckpulley/internal/defect"

// HuntResult is the result of searching for a history that detects a mutation.
type HuntResult struct {
	Defect defect.Defect
	// Violation is the violation that the mutation caused, nil if there was none.
	Violation *Violation
	// Seeds is the number of histories run, including the one with the violation.
	Seeds int
	// Seed is the seed of the history with the violation, 0 if there is none.
	Seed uint64
}

// Hunt runs histories with a mutation, with consecutive seeds beginning with firstSeed,
// until a check reports a violation or the limit is reached.
func Hunt(mutation defect.Defect, firstSeed uint64, limit int) HuntResult {
	hunt := HuntResult{Defect: mutation}
	for hunt.Seeds < limit {
		seed := firstSeed + uint64(hunt.Seeds)
		hunt.Seeds++
		result := Run(seed, Options{Defects: defect.Of(mutation)})
		if result.Violation != nil {
			hunt.Violation = result.Violation
			hunt.Seed = seed
			return hunt
		}
	}
	return hunt
}
