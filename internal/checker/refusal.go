package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// checkRefusedOperations finds documents that are in effect although their operation was
// refused, several operations that were accepted on one base version, and versions in
// effect that no operation created.
func checkRefusedOperations(x *index, _ Options, verdict *Verdict) {
	refused := map[string]*operation{} // by digest
	accepted := map[string]bool{}      // accepted or unknown outcome, by digest
	for _, operation := range x.operations {
		if operation.detail() != DetailConfiguration {
			continue
		}
		if _, ok := operation.refused(); ok {
			refused[operation.digest()] = operation
			verdict.Examined++
		} else {
			accepted[operation.digest()] = true
		}
	}
	for _, read := range x.reads {
		operation, ok := refused[read.Target]
		if read.Kind != eventlog.ConfigurationRead || !ok || accepted[read.Target] {
			continue
		}
		if len(operation.sends) > 1 {
			continue // checkResentOperations reports resent operations that were refused while in effect
		}
		answer, _ := operation.refused()
		verdict.addViolation(fmt.Sprintf("refused order %s is in effect as version %d", operation.id, read.Version), answer, read)
	}
	checkWriters(x, verdict)
	checkStampedVersions(x, verdict)
}

// checkWriters finds operations that were accepted on the same base version.
func checkWriters(x *index, verdict *Verdict) {
	winners := map[uint64]acknowledgement{} // by base version
	for _, ack := range x.acknowledgements(DetailConfiguration) {
		base := ack.operation.base()
		if other, ok := winners[base]; ok {
			summary := fmt.Sprintf("orders %s and %s were both accepted on base version %d", other.operation.id, ack.operation.id, base)
			verdict.addViolation(summary, other.answer, ack.answer)
			continue
		}
		winners[base] = ack
	}
}

// checkStampedVersions finds requests that were placed by a version that no operation
// can have created.
func checkStampedVersions(x *index, verdict *Verdict) {
	possible := x.possibleVersions()
	reported := map[uint64]bool{}
	for _, received := range x.received {
		if received.Version == 0 || possible[received.Version] || reported[received.Version] {
			continue
		}
		reported[received.Version] = true
		verdict.addViolation(fmt.Sprintf("a request was placed by version %d, which no order created", received.Version), received)
	}
}

// possibleVersions returns the versions of accepted operations and those that operations
// with an unknown outcome may have created.
func (x *index) possibleVersions() map[uint64]bool {
	possible := map[uint64]bool{}
	for _, operation := range x.operations {
		if operation.detail() != DetailConfiguration {
			continue
		}
		if answer, ok := operation.accepted(); ok {
			possible[answer.Version] = true
			continue
		}
		if _, ok := operation.refused(); !ok {
			possible[operation.base()+1] = true
		}
	}
	return possible
}

// checkResentOperations compares every answer to a resent operation with the first one.
func checkResentOperations(x *index, _ Options, verdict *Verdict) {
	inEffect := map[string]eventlog.Event{} // first read of each document, by digest
	for _, read := range x.reads {
		if _, ok := inEffect[read.Target]; !ok && read.Kind == eventlog.ConfigurationRead {
			inEffect[read.Target] = read
		}
	}
	for _, operation := range x.operations {
		if len(operation.sends) < 2 || len(operation.answers) == 0 {
			continue
		}
		verdict.Examined += len(operation.answers)
		checkSameAnswer(operation, verdict)
		answer, refused := operation.refused()
		read, effective := inEffect[operation.digest()]
		if refused && effective && operation.detail() == DetailConfiguration {
			verdict.addViolation(fmt.Sprintf("order %s was refused when resent although it is in effect", operation.id), answer, read)
		}
	}
}

// checkSameAnswer adds a violation if a later answer to the operation differs from the
// first one.
func checkSameAnswer(operation *operation, verdict *Verdict) {
	first := operation.answers[0]
	for _, answer := range operation.answers[1:] {
		if answer.Outcome != first.Outcome || answer.Version != first.Version {
			summary := fmt.Sprintf("order %s was answered %s (version %d), then %s (version %d)",
				operation.id, first.Outcome, first.Version, answer.Outcome, answer.Version)
			verdict.addViolation(summary, first, answer)
			return
		}
	}
}
