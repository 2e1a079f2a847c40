package configuration

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// baseDocument is a valid document. Each invalid document differs from it in one place.
const baseDocument = `regions:
  north:
    zones: [north-1]
    spill: [south]
    capacity: 5
  south:
    zones: [south-1]
    capacity: 3
services:
  explain:
    kind: model
    max_concurrency: 8
  snippets:
    kind: web
    max_concurrency: 64
routes:
  explain-long:
    service: explain
    class: long
    home: bank-home
  snippet:
    service: snippets
clients:
  branch: north
homes:
  bank-home: [north]
tenants:
  bank:
    home: bank-home
    weight: 2
limits:
  retry_ratio: 0.1
`

// invalidDocument replaces one passage of baseDocument. The result must have exactly the
// wanted problems.
type invalidDocument struct {
	name     string
	old, new string
	want     []string
}

var malformedDocuments = []invalidDocument{
	{"empty", baseDocument, "", []string{"document is empty"}},
	{"only a comment", baseDocument, "# nothing\n", []string{"document is empty"}},
	{"a string", baseDocument, "north", []string{"line 1: must be a mapping, is a string"}},
	{"a list", baseDocument, "[]", []string{"line 1: must be a mapping, is a list"}},
	{"null", baseDocument, "~", []string{"line 1: must be a mapping, is empty"}},
	{"empty mapping", baseDocument, "{}", []string{"line 1: regions: is missing", "line 1: services: is missing", "line 1: routes: is missing"}},
	{"two documents", "limits:\n", "---\nlimits:\n", []string{"line 31: more than one document"}},
	{"unclosed list", "[north-1]", "[north-1", []string{"line 3: syntax: did not find expected ',' or ']'"}},
	{"unclosed mapping in the first line", baseDocument, "{regions: {", []string{"line 1: syntax: did not find expected node content"}},
	{"value beside a mapping", "  branch: north", "  branch: north\n  - south", []string{"line 24: syntax: did not find expected key"}},
	{"tab as indentation", "    capacity: 5", "\tcapacity: 5", []string{"line 5: syntax: found character that cannot start any token"}},
	{"unknown field of document", "regions:", "region:", []string{`line 1: region: unknown field (nearest: "regions")`, "line 1: regions: is missing"}},
	{"unknown field of region", "    capacity: 3", "    capacity: 3\n    colour: red", []string{"line 9: regions.south.colour: unknown field"}},
	{"misspelt field of region", "    spill:", "    spil:", []string{`line 4: regions.north.spil: unknown field (nearest: "spill")`}},
	{"misspelt field of service", "    max_concurrency: 64", "    max_concurency: 64", []string{"line 14: services.snippets.max_concurrency: is missing", `line 15: services.snippets.max_concurency: unknown field (nearest: "max_concurrency")`}},
	{"misspelt limit", "retry_ratio", "rety_ratio", []string{`line 32: limits.rety_ratio: unknown field (nearest: "retry_ratio")`}},
	{"upper case field", "    kind: web", "    Kind: web", []string{`line 14: services.snippets.Kind: unknown field (nearest: "kind")`, "line 14: services.snippets.kind: is missing"}},
	{"region twice", "  south:\n", "  north:\n", []string{"line 6: regions.north: is given twice, first on line 2"}},
	{"route twice", "  snippet:\n", "  explain-long:\n", []string{"line 21: routes.explain-long: is given twice, first on line 17"}},
	{"section twice", "clients:", "homes:", []string{"line 24: homes.branch: must be a list, is a string", "line 25: homes: is given twice, first on line 23"}},
	{"field twice", "    kind: web", "    kind: web\n    kind: model", []string{"line 15: services.snippets.kind: is given twice, first on line 14"}},
	{"capacity is a string", "capacity: 5", "capacity: many", []string{"line 5: regions.north.capacity: must be an integer, is a string"}},
	{"capacity is a fraction", "capacity: 5", "capacity: 5.5", []string{"line 5: regions.north.capacity: must be an integer, is a number"}},
	{"capacity exceeds the range of integers", "capacity: 5", "capacity: 99999999999999999999", []string{"line 5: regions.north.capacity: must be an integer, is a number"}},
	{"zone is a number", "[north-1]", "[1]", []string{"line 3: regions.north.zones[0]: must be a string, is an integer"}},
	{"zones is a string", "[north-1]", "north-1", []string{"line 3: regions.north.zones: must be a list, is a string"}},
	{"service is null", "service: snippets", "service:", []string{"line 22: routes.snippet.service: must be a string, is empty"}},
	{"kind is a boolean", "kind: web", "kind: true", []string{"line 14: services.snippets.kind: must be a string, is true or false"}},
	{"ratio is a string", "0.1", `"0.1"`, []string{"line 32: limits.retry_ratio: must be a number, is a string"}},
	{"key is a number", "  branch:", "  1:", []string{"line 24: clients: a key must be a string, is an integer"}},
	{"alias", "home: bank-home\n    weight", "home: &x bank-home\n    weight", []string{"line 29: tenants.bank.home: anchors and aliases are not allowed"}},
	{"merge key", "  bank:\n", "  <<: {}\n  bank:\n", []string{"line 28: tenants: a key must be a string, is a merge key"}},
	{"custom tag", "kind: web", "kind: !kind web", []string{"line 14: services.snippets.kind: must be a string, is a value with tag !kind"}},
	{"too large", baseDocument, strings.Repeat(" ", MaxDocumentBytes+1), []string{"document of 2097153 bytes, at most 2097152"}},
}

var invalidDocuments = []invalidDocument{
	{"no region", baseDocument, "regions: {}\nservices: {}\nroutes: {}\n", []string{"line 1: regions: there must be at least one region"}},
	{"region without zones", "[south-1]", "[]", []string{`line 7: regions.south.zones: region "south" has no zones`}},
	{"zone in two regions", "[south-1]", "[south-1, north-1]", []string{`line 7: regions.south.zones[1]: zone "north-1" is already in region "north"`}},
	{"zone twice in a region", "[south-1]", "[south-1, south-1]", []string{`line 7: regions.south.zones[1]: zone "south-1" is already in region "south"`}},
	{"zone with a space", "[south-1]", `["south 1"]`, []string{`line 7: regions.south.zones[0]: name "south 1" contains characters other than letters, digits and "-._:/@+"`}},
	{"empty zone", "[south-1]", `[""]`, []string{"line 7: regions.south.zones[0]: name is empty"}},
	{"spill to itself", "spill: [south]", "spill: [north]", []string{`line 4: regions.north.spill[0]: region "north" spills to itself`}},
	{"spill to unknown", "spill: [south]", "spill: [souht]", []string{`line 4: regions.north.spill[0]: no region "souht" (nearest: "south")`}},
	{"spill twice", "spill: [south]", "spill: [south, south]", []string{`line 4: regions.north.spill[1]: region "south" is listed twice`}},
	{"capacity zero", "capacity: 5", "capacity: 0", []string{"line 5: regions.north.capacity: 0 is not between 1 and 1000000"}},
	{"capacity negative", "capacity: 5", "capacity: -1", []string{"line 5: regions.north.capacity: -1 is not between 1 and 1000000"}},
	{"unknown kind", "kind: web", "kind: webb", []string{`line 14: services.snippets.kind: "webb" is not one of ["model" "web"] (nearest: "web")`}},
	{"concurrency zero", "max_concurrency: 64", "max_concurrency: 0", []string{"line 15: services.snippets.max_concurrency: 0 is not between 1 and 10000"}},
	{"concurrency too high", "max_concurrency: 64", "max_concurrency: 10001", []string{"line 15: services.snippets.max_concurrency: 10001 is not between 1 and 10000"}},
	{"unknown service", "service: explain", "service: explian", []string{`line 18: routes.explain-long.service: no service "explian" (nearest: "explain")`}},
	{"unknown service, none near", "service: explain", "service: portal", []string{`line 18: routes.explain-long.service: no service "portal"`}},
	{"unknown class", "class: long", "class: log", []string{`line 19: routes.explain-long.class: "log" is not one of ["quick" "long" "fetch"] (nearest: "long")`}},
	{"unknown home of route", "home: bank-home\n  snippet", "home: bank-hom\n  snippet", []string{`line 20: routes.explain-long.home: no home "bank-hom" (nearest: "bank-home")`}},
	{"weight of route negative", "service: snippets", "service: snippets\n    weight: -1", []string{"line 23: routes.snippet.weight: -1 is not between 0 and 1000"}},
	{"route with a dot and a space", "  snippet:\n", "  \"a.b c\":\n", []string{`line 21: routes["a.b c"]: name "a.b c" contains characters other than letters, digits and "-._:/@+"`}},
	{"route with a long name", "  snippet:\n", "  " + strings.Repeat("x", 129) + ":\n", []string{"line 21: routes." + strings.Repeat("x", 129) + ": name of 129 bytes, at most 128"}},
	{"client of unknown region", "branch: north", "branch: nort", []string{`line 24: clients.branch: no region "nort" (nearest: "north")`}},
	{"home without regions", "bank-home: [north]", "bank-home: []", []string{`line 26: homes.bank-home: no region serves home "bank-home"`}},
	{"home that no region serves", "bank-home: [north]", "bank-home: [west]", []string{`line 26: homes.bank-home[0]: no region "west"`, `line 26: homes.bank-home: no region serves home "bank-home"`}},
	{"home with one unknown region", "bank-home: [north]", "bank-home: [north, sout]", []string{`line 26: homes.bank-home[1]: no region "sout" (nearest: "south")`}},
	{"home with a region twice", "bank-home: [north]", "bank-home: [north, north]", []string{`line 26: homes.bank-home[1]: region "north" is listed twice`}},
	{"unknown home of tenant", "home: bank-home\n    weight", "home: house\n    weight", []string{`line 29: tenants.bank.home: no home "house"`}},
	{"weight of tenant too high", "weight: 2", "weight: 1001", []string{"line 30: tenants.bank.weight: 1001 is not between 0 and 1000"}},
	{"retry ratio too high", "0.1", "0.21", []string{"line 32: limits.retry_ratio: 0.21 is not between 0 and 0.2"}},
	{"retry ratio negative", "0.1", "-0.1", []string{"line 32: limits.retry_ratio: -0.1 is not between 0 and 0.2"}},
	{"retry ratio not a number", "0.1", ".nan", []string{"line 32: limits.retry_ratio: NaN is not between 0 and 0.2"}},
	{"utilization above one", "retry_ratio: 0.1", "target_utilization: 1.1", []string{"line 32: limits.target_utilization: 1.1 is not between 0.1 and 1"}},
	{"queue length too high", "retry_ratio: 0.1", "queue_length: 10001", []string{"line 32: limits.queue_length: 10001 is not between 1 and 10000"}},
	{"first token limit too high", "retry_ratio: 0.1", "first_token_ms: 60001", []string{"line 32: limits.first_token_ms: 60001 is not between 1 and 60000"}},
	{"warm-up concurrency too high", "retry_ratio: 0.1", "cold_concurrency: 65", []string{"line 32: limits.cold_concurrency: 65 is not between 1 and 64"}},
	{"stream gap too low", "retry_ratio: 0.1", "stream_gap_ms: 99", []string{"line 32: limits.stream_gap_ms: 99 is not between 100 and 600000"}},
	{"two mistakes", "class: long\n    home: bank-home", "class: lang\n    home: none", []string{`line 19: routes.explain-long.class: "lang" is not one of ["quick" "long" "fetch"] (nearest: "long")`, `line 20: routes.explain-long.home: no home "none"`}},
}

func TestMalformedDocuments(t *testing.T) {
	for _, document := range malformedDocuments {
		t.Run(document.name, func(t *testing.T) {
			_, err := Parse(document.text(t))
			wantProblems(t, err, document.want)
		})
	}
}

func TestInvalidDocuments(t *testing.T) {
	for _, document := range invalidDocuments {
		t.Run(document.name, func(t *testing.T) {
			parsed, err := Parse(document.text(t))
			if err != nil {
				t.Fatalf("Parse rejected the document: %v", err)
			}
			wantProblems(t, parsed.Validate(), document.want)
			if _, err := Changes(newTable(t).View(), parsed, 1, "", ""); err == nil {
				t.Error("Changes accepted the invalid document")
			}
		})
	}
}

func (d invalidDocument) text(t *testing.T) string {
	t.Helper()
	if strings.Count(baseDocument, d.old) != 1 {
		t.Fatalf("the base document does not contain %q exactly once", d.old)
	}
	return strings.Replace(baseDocument, d.old, d.new, 1)
}

func wantProblems(t *testing.T, err error, want []string) {
	t.Helper()
	var problems *DocumentError
	if !errors.As(err, &problems) {
		t.Fatalf("error %v, want *DocumentError", err)
	}
	var got []string
	for _, problem := range problems.Problems {
		got = append(got, problem.String())
	}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Errorf("problems differ (-want +got):\n%s", difference)
	}
}

func TestProblemsAreBounded(t *testing.T) {
	document := &Document{Regions: map[string]Region{}}
	for i := range MaxProblems + 7 {
		document.Regions[fmt.Sprintf("region-%d", i)] = Region{Zones: []string{fmt.Sprintf("zone-%d", i)}}
	}
	var problems *DocumentError
	if err := document.Validate(); !errors.As(err, &problems) {
		t.Fatalf("error %v, want *DocumentError", err)
	}
	if len(problems.Problems) != MaxProblems || problems.Omitted != 7 {
		t.Errorf("%d problems listed and %d omitted, want the maximum and 7", len(problems.Problems), problems.Omitted)
	}
}

func TestCountsAreBounded(t *testing.T) {
	document := &Document{Regions: map[string]Region{"north": {Zones: []string{"north-1"}, Capacity: 1}}}
	document.Services = map[string]Service{"explain": {Kind: KindModel, MaxConcurrency: 1}}
	document.Routes = map[string]Route{}
	for i := range MaxRoutes + 1 {
		document.Routes[fmt.Sprintf("route-%d", i)] = Route{Service: "explain"}
	}
	wantProblems(t, document.Validate(), []string{"routes: 20001 routes, at most 20000"})
}
