package simulation

import "github.com/deckpulley/deckpulley/internal/defect"

// HuntResult is the result of a hunt for a planted defect.
type HuntResult struct {
	Defect defect.Defect
	// Violation is the one that revealed the defect, nil if no history did.
	Violation *Violation
	// Seeds is the number of histories run, including the one with the violation.
	Seeds int
	// Seed is that of the history with the violation, 0 if there is none.
	Seed uint64
}

// Hunt runs histories with one planted defect, with consecutive seeds from firstSeed
// on, until a check reports a violation or the limit is reached.
func Hunt(planted defect.Defect, firstSeed uint64, limit int) HuntResult {
	catch := HuntResult{Defect: planted}
	for catch.Seeds < limit {
		seed := firstSeed + uint64(catch.Seeds)
		catch.Seeds++
		result := Run(seed, Options{Defects: defect.Of(planted)})
		if result.Violation != nil {
			catch.Violation = result.Violation
			catch.Seed = seed
			return catch
		}
	}
	return catch
}
