package simulation

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/internal/defect"
)

const testWorkers = 4

func workers() int {
	return min(testWorkers, runtime.GOMAXPROCS(0))
}

// TestHistories plays histories of the true code. A failure names its seed,
// which deckpulley-simulate --seeds 1 --first-seed plays again.
func TestHistories(t *testing.T) {
	var summary Summary
	Batch(1, histories, workers(), Options{}, summary.Add)
	for _, failure := range summary.Failures {
		t.Errorf("seed %d: %v", failure.Seed, failure.Violation)
	}
	kinds := []FaultKind{
		FaultCrash, FaultCrashAtWrite, FaultCrashAll, FaultFreeze, FaultCutOneWay, FaultIsolate, FaultLossyNetwork,
		FaultWipe, FaultWipeAfterAnswer, FaultReplace, FaultTransfer, FaultGatewayFreeze, FaultGatewayRestart,
		FaultGatewayCut, FaultCrashAfterVote, FaultCrashElected, FaultSilenced, FaultStall, FaultSplit, FaultSwap,
	}
	for _, kind := range kinds {
		if summary.Total.Faults[kind] == 0 {
			t.Errorf("no history contains: %s", kind)
		}
	}
	if summary.Total.Answered < histories || summary.Total.Placements < histories {
		t.Errorf("%d answers and %d placements in %d histories", summary.Total.Answered, summary.Total.Placements, histories)
	}
}

// TestSeedDecidesEverything plays a history twice.
func TestSeedDecidesEverything(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		if difference := cmp.Diff(Run(seed, Options{}), Run(seed, Options{})); difference != "" {
			t.Errorf("seed %d: %s", seed, difference)
		}
	}
}

// TestQuietHistory shows that nothing but faults delays the answers.
func TestQuietHistory(t *testing.T) {
	w := newWorld(1, Options{Duration: 10 * time.Second})
	w.populate(leastMembers)
	w.runUntil(w.options.Duration)
	w.runUntilRecovered(w.options.Duration + time.Second)
	w.checkEnd()
	if w.result.Violation != nil {
		t.Fatal(w.result.Violation)
	}
	if w.result.Elections != 1 || w.result.Answered < 2*operatorCount {
		t.Fatalf("%d elections, %d answers", w.result.Elections, w.result.Answered)
	}
}

// TestPlantedDefectsAreCaught hunts each defect that shows within few histories.
// deckpulley-simulate --planted hunts all of them.
func TestPlantedDefectsAreCaught(t *testing.T) {
	quick := []defect.Defect{
		defect.MissingSync, defect.SnapshotDropsOrders, defect.ReuseSerial,
		defect.LeaseNotWaitedOut, defect.AcknowledgeProposal, defect.SendBeforeSync,
		defect.VoteIgnoresLog, defect.TwoMembershipChanges, defect.FreshContact,
	}
	Each(len(quick), workers(), func(position int) {
		if catch := Hunt(quick[position], 1, quickHunt); catch.Violation == nil {
			t.Errorf("%s was not caught in %d histories", quick[position], catch.Seeds)
		}
	})
}
