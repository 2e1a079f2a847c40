// Package catalog maps each planted defect to the scenario that reveals it and the
// promise that it breaks, and compares reports with these expectations. The failpoints
// that enable the defects are in package planted.
package catalog

import (
	"fmt"
	"slices"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/planted"
)

// Case is a defect with the scenario and the promise that must reveal it. A control case
// has a scenario only.
type Case struct {
	Defect planted.Defect
	// Scenario is the name of one of the planted scenarios.
	Scenario string
	// Promise is the promise that the checker must report as broken.
	Promise checker.Promise
	// Also lists further promises that the defect inevitably breaks; Because is the
	// reason.
	Also    []checker.Promise
	Because string
}

// Cases lists one case for each defect.
func Cases() []Case {
	return []Case{
		{Defect: planted.RetryAfterFirstByte, Scenario: "broken-answers", Promise: "P1"},
		{Defect: planted.RunAfterRefusal, Scenario: "crowd", Promise: "P2"},
		{Defect: planted.AcceptWrongID, Scenario: "broken-answers", Promise: "P3"},
		{Defect: planted.JoinRuns, Scenario: "broken-answers", Promise: "P4"},
		{Defect: planted.CleanEnd, Scenario: "broken-answers", Promise: "P4"},
		{Defect: planted.AcknowledgeUnwritten, Scenario: "configurations", Promise: "P5"},
		{Defect: planted.KeepOldConfiguration, Scenario: "gateway-cut-configuration", Promise: "P5"},
		{
			Defect: planted.StepBack, Scenario: "configurations", Promise: "P6",
			Also: []checker.Promise{"P5"}, Because: "an older version used long after the newer one was acknowledged",
		},
		{Defect: planted.ForgetEvacuations, Scenario: "evacuation-then-failover", Promise: "P7"},
		{Defect: planted.AcceptOldBase, Scenario: "race", Promise: "P8"},
		{Defect: planted.RefuseResentOrder, Scenario: "resend", Promise: "P9"},
		{Defect: planted.PrimaryStays, Scenario: "primary-cut", Promise: "P10"},
		{Defect: planted.IgnoreDrainReport, Scenario: "drains", Promise: "P11"},
		{Defect: planted.IgnoreDrainList, Scenario: "drains", Promise: "P11"},
		{Defect: planted.IgnoreEvacuation, Scenario: "evacuation", Promise: "P12"},
		{Defect: planted.IgnoreLease, Scenario: "gateway-cut-evacuation", Promise: "P12"},
		{Defect: planted.IgnoreHome, Scenario: "evacuation", Promise: "P13"},
		{Defect: planted.RampPerGateway, Scenario: "cold", Promise: "P14"},
		{Defect: planted.UnboundedRetries, Scenario: "refusing", Promise: "P15"},
		{Defect: planted.SlowTakeover, Scenario: "all-killed", Promise: "P16"},
		{Defect: planted.GiveUpLease, Scenario: "primary-killed", Promise: "P17"},
		{Defect: planted.SwingingLimit, Scenario: "step", Promise: "P18"},
	}
}

// Controls lists one case without a defect for each scenario of the cases. It must break
// no promise: otherwise a broken promise in this scenario would not prove that the defect
// was caught.
func Controls() []Case {
	var list []Case
	for _, of := range Cases() {
		if !slices.ContainsFunc(list, func(control Case) bool { return control.Scenario == of.Scenario }) {
			list = append(list, Case{Scenario: of.Scenario})
		}
	}
	return list
}

// Control reports whether the case is a control, that is without a defect.
func (c Case) Control() bool { return c.Defect == "" }

// Find returns the case of a defect.
func Find(name string) (Case, error) {
	for _, of := range Cases() {
		if string(of.Defect) == name {
			return of, nil
		}
	}
	return Case{}, fmt.Errorf("no planted defect is named %q", name)
}

// Judge returns the promises that a report shows as broken, and whether they match the
// case: the case's promise is broken and, except for those in Also, no other. A control
// case matches if no promise is broken.
func (c Case) Judge(report checker.Report) (broken []checker.Promise, caught bool) {
	caught = true
	for i := range report.Verdicts {
		verdict := &report.Verdicts[i]
		if verdict.Status() != checker.StatusBroken {
			continue
		}
		broken = append(broken, verdict.Promise)
		caught = caught && (verdict.Promise == c.Promise || slices.Contains(c.Also, verdict.Promise))
	}
	return broken, caught && (c.Control() || slices.Contains(broken, c.Promise))
}
