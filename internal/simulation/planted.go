package simulation

import "github.com/deckpulley/deckpulley/internal/defect"

// Catch says how a planted defect fared.
type Catch struct {
	Defect defect.Defect
	// Violation is nil if no history showed it.
	Violation *Violation
	// Seeds is the number of histories played, the catching one included.
	Seeds int
	// Seed is the catching one.
	Seed uint64
}

// Hunt plays histories with one planted defect until a check catches it, or the
// limit is reached.
func Hunt(planted defect.Defect, firstSeed uint64, limit int) Catch {
	catch := Catch{Defect: planted}
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
