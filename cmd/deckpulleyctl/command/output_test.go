package command

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
)

func TestTableOutput(t *testing.T) {
	line := newCommandLine(t)
	for command, want := range map[string]string{
		"zone list":      "ZONE     REGION  EVACUATED\nnorth-1  north   yes\n",
		"members list":   "NAME         ROLE     ZONE  REGION  UP   PEERS  HTTP  DETAIL\nc1           control  -     -       yes  -      -     voter, index 5\ng1           gateway  -     -       yes  -      -     lease 900 ms, serial 9 held, 9 active\nrepair done  -        -     -       yes  -      -     -\n",
		"replicas list":  "REPLICA  SERVICE  ZONE     REGION  ADDRESS      CONDITION  FEEDER  DRAINING\nr1       model    north-1  north   127.0.0.1:1  up         -       no\nr2       model    north-1  north   127.0.0.1:2  cold       g1      no\n",
		"config get":     document,
		"config history": "NUMBER  ORDER  ACCEPTED  VERSION  REASON\n7       o2     no        4        version_conflict (refused): the base is 3\n6       o1     yes       4        -\n",
	} {
		t.Run(command, func(t *testing.T) {
			status, output, errorOutput := line.run(strings.Fields(command)...)
			if status != exitSuccess {
				t.Fatalf("exit status %d, error output %s", status, errorOutput)
			}
			if diff := cmp.Diff(want, output); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestYAMLOutput(t *testing.T) {
	line := newCommandLine(t)
	if _, output, _ := line.run("zone", "list", "-o", "yaml"); output != "zones:\n  - evacuated: true\n    region: north\n    zone: north-1\n" {
		t.Errorf("unexpected YAML output %q", output)
	}
}

func TestJSONOutput(t *testing.T) {
	line := newCommandLine(t)
	var decoded api.StatusAnswer
	if _, output, _ := line.run("status", "-o", "json"); json.Unmarshal([]byte(output), &decoded) != nil || decoded.Primary != "c2" {
		t.Errorf("unexpected JSON output %q", output)
	}
}

const statusTablesText = `FIELD                  VALUE
answered by            c1
primary                c2
primary address        -
term                   7
committed index        6
serial                 0
serial in force        0
configuration version  0
leases                 8
repair done            yes

CONTROL  ZONE  UP   VOTES  LAG  PEERS  IDENTITY
c1       -     yes  yes    1    -      -

GATEWAY  ZONE  REGION  UP   LEASE MS  HELD  ACTIVE  VERSION  CALLERS
g1       -     -       yes  900       9     9       4        -

REGION  SERVICE  REPLICAS UP  COLD  DRAINING  DOWN  UNSEEN
north   model    1            1     0         0     0
south   model    0            0     0         1     0
`

const loadTableText = `REGION  SERVICE  LOAD  AIM  SPILL  IN FLIGHT  QUEUED  LIMIT  USABLE  COLD  DRAINING  EJECTED
north   model    50%   80%  10%    3          1       8      0 of 2  2     0         0
`

const degradedTableText = `DEGRADED, AND WHAT TO DO
gateway at 127.0.0.1:1 does not respond on its operators' port: restart the gateway or its machine
service model has no usable replica in region north: inspect them with deckpulleyctl replicas list
replica r3 of service model in zone south-1 is down: restart it, or remove it from the platform's list
`

const explainTablesText = `gateway g1 in region north, configuration version 0, serial 0

STEP   RESULT  REASON
route  ask     {"request_id":"","tenant":"bank","model":"ask","prefixes":[{"id":"repository","tokens":900},{"id":"file","tokens":20}],"prompt_tokens":0,"max_tokens":1,"repeatable":true}

REGION  RANK             LOAD  KNOWLEDGE  USABLE  TAKES SPILL
north   1                50%   fresh      yes     no
south   not a candidate  0%    stale      no      no

REPLICA  STATE   IN FLIGHT  OTHERS  LIMIT  FIRST TOKEN MS
r1       usable  0          0       8      40
`

// TestStatusOutput checks the output for a fleet with two gateways, one of which does
// not respond.
func TestStatusOutput(t *testing.T) {
	line := newDegradedFleet(t)
	for command, want := range map[string]string{
		"status":                         statusTablesText + "\n" + loadTableText + "\n" + degradedTableText,
		"top --count 2 --interval 200ms": strings.Repeat("primary c2, term 7, version 0, serial 0, in force 0, leases 8\n"+loadTableText+degradedTableText, 2),
		"route explain ask --tenant bank --prefix repository=900,file=20": explainTablesText,
	} {
		t.Run(command, func(t *testing.T) {
			status, output, errorOutput := line.run(strings.Fields(command)...)
			if status != exitSuccess {
				t.Errorf("exit status %d, error output %s", status, errorOutput)
			}
			if diff := cmp.Diff(want, output); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// newDegradedFleet returns a command line for a fleet with a gateway that does not
// respond and a replica that is down.
func newDegradedFleet(t *testing.T) *commandLine {
	t.Helper()
	line := newCommandLine(t)
	t.Setenv(environmentGateways, line.address+",127.0.0.1:1")
	line.node.additionalReplicas = []api.ReplicaStatus{{ReplicaEntry: api.ReplicaEntry{ID: "r3", Service: "model", Zone: "south-1"}, Region: "south", Condition: "down"}}
	return line
}
