package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

func TestExitStatuses(t *testing.T) {
	line := newCommandLine(t)
	valid := line.writeFile(t, "valid.yaml", document)
	invalid := line.writeFile(t, "invalid.yaml", strings.Replace(document, "service: model", "service: modell", 1))
	apply := []string{"config", "apply", valid, "--order-id", "o", "--author", "ada"}
	cases := []struct {
		name           string
		arguments      []string
		operationError *api.Error
		status         int
		errorText      string
	}{
		{"valid file", []string{"config", "validate", valid}, nil, exitSuccess, ""},
		{"invalid file", []string{"config", "validate", invalid}, nil, exitUsage, "routes.ask.service"},
		{"invalid file is not sent", []string{"config", "apply", invalid}, nil, exitUsage, "routes.ask.service"},
		{"unknown command", []string{"zones"}, nil, exitUsage, "unknown command"},
		{"unknown replica", []string{"replicas", "drain", "r9"}, nil, exitUsage, `no replica "r9"`},
		{"unknown format", append(apply, "-o", "xml"), nil, exitUsage, "xml"},
		{"refused operation", apply, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: "why"}, exitRefused, "why"},
		{"version conflict", apply, &api.Error{Code: api.CodeVersionConflict, Outcome: api.OutcomeRefused}, exitConflict, ""},
		{"unknown outcome", apply, &api.Error{Code: api.CodePending, Outcome: api.OutcomeUnknown}, exitUnknown, `--order-id o --author "ada" --base-version 4`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			line.node.operationError, line.node.operation = c.operationError, nil
			status, _, errorOutput := line.run(c.arguments...)
			if status != c.status || !strings.Contains(errorOutput, c.errorText) {
				t.Errorf("exit status %d, error output %s", status, errorOutput)
			}
			if status == exitUsage && line.node.operation != nil {
				t.Error("an operation was sent despite the usage error")
			}
		})
	}
}

func TestExitStatusesWithoutANode(t *testing.T) {
	var output, errorOutput bytes.Buffer
	if status := Run([]string{"status", "--address", "127.0.0.1:1", "--timeout", "100ms"}, &output, &errorOutput); status != exitUnreachable {
		t.Errorf("unreachable node: exit status %d, error output %s", status, &errorOutput)
	}
	t.Setenv(environmentAddress, "")
	if status := Run([]string{"status"}, &output, &errorOutput); status != exitUsage {
		t.Errorf("no address: exit status %d", status)
	}
}

func TestExitStatusesOfADegradedFleet(t *testing.T) {
	line := newDegradedFleet(t)
	for command, want := range map[string]int{
		"status --check":                  exitDegraded,
		"top --interval 1ms":              exitUsage,
		"route explain ask --prefix file": exitUsage,
		"recover":                         exitSuccess,
	} {
		t.Run(command, func(t *testing.T) {
			if status, _, errorOutput := line.run(strings.Fields(command)...); status != want {
				t.Errorf("exit status %d, want %d, error output %s", status, want, errorOutput)
			}
		})
	}
}
