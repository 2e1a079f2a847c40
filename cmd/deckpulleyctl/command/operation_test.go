package command

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOperations checks the body and the token that commands send with an operation.
func TestOperations(t *testing.T) {
	line := newCommandLine(t)
	path := line.writeFile(t, "c.yaml", document)
	token := line.writeFile(t, "token", "# mine\nada 0123456789abcdef\n")
	cases := []struct {
		name      string
		arguments []string
		want      string
	}{
		{
			"configuration based on the current version",
			[]string{"config", "apply", path, "--order-id", "o", "--author", "ada"},
			fmt.Sprintf(`{"order_id":"o","base_version":4,"author":"ada","document":%q}`, document),
		},
		{
			"configuration based on a given version, without an author",
			[]string{"config", "apply", path, "--order-id", "o", "--author", "", "--base-version", "2"},
			fmt.Sprintf(`{"order_id":"o","base_version":2,"document":%q}`, document),
		},
		{
			"evacuation",
			[]string{"zone", "evacuate", "north-1", "--order-id", "o", "--author", "ada"},
			`{"order_id":"o","zone":"north-1","author":"ada"}`,
		},
		{
			"withdrawal of an evacuation",
			[]string{"zone", "restore", "north-1", "--order-id", "o", "--author", "ada"},
			`{"order_id":"o","zone":"north-1","withdraw":true,"author":"ada"}`,
		},
		{
			"replica drained",
			[]string{"replicas", "drain", "r2"},
			`{"replicas":[{"id":"r1","service":"model","zone":"north-1","address":"127.0.0.1:1"},{"id":"r2","service":"model","zone":"north-1","address":"127.0.0.1:2","draining":true}]}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, output, errorOutput := line.run(append(c.arguments, "--token-file", token)...)
			if status != exitSuccess || output != "ORDER  ACCEPTED  VERSION  SERIAL\no      yes       5        10\n" {
				t.Errorf("exit status %d, output %s%s", status, output, errorOutput)
			}
			if diff := cmp.Diff(c.want, string(line.node.operation)); diff != "" {
				t.Error(diff)
			}
			if line.node.authorization != "Bearer 0123456789abcdef" {
				t.Errorf("Authorization header %q", line.node.authorization)
			}
		})
	}
}

func TestConfigDiff(t *testing.T) {
	line := newCommandLine(t)
	changed := strings.NewReplacer("capacity: 4", "capacity: 5", "  ask:", "  answer:").Replace(document)
	status, output, errorOutput := line.run("config", "diff", line.writeFile(t, "c.yaml", changed))
	want := `against version 4: 5 changes
~ regions.north.capacity: 4 -> 5
+ routes.answer.class: "quick"
+ routes.answer.service: "model"
- routes.ask.class: "quick"
- routes.ask.service: "model"
`
	if status != exitSuccess {
		t.Fatal(errorOutput)
	}
	if diff := cmp.Diff(want, output); diff != "" {
		t.Error(diff)
	}
}
