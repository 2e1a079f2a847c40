// Package catalog says for each planted defect which scenario shows it and which
// promise that breaks, and judges a report by it. It holds no hook itself.
package catalog

import (
	"fmt"
	"slices"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/planted"
)

// Case is one defect with the run that must report it.
type Case struct {
	Defect planted.Defect
	// Scenario is a file of the planted scenarios.
	Scenario string
	// Promise must be reported broken.
	Promise checker.Promise
	// Also are promises that the defect breaks too, by what it is; Because says why.
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

// Controls lists one case without a defect for each scenario of the cases: it
// must break nothing, or what it reports of a defect would prove nothing.
func Controls() []Case {
	var list []Case
	for _, of := range Cases() {
		if !slices.ContainsFunc(list, func(control Case) bool { return control.Scenario == of.Scenario }) {
			list = append(list, Case{Scenario: of.Scenario})
		}
	}
	return list
}

// Control tells that the case has no defect.
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

// Judge tells whether a report caught the defect: its promise is broken, and
// nothing else than what the defect breaks too. A control is as it should be if
// nothing is broken.
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
