package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/examples"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.yaml.in/yaml/v3"
)

func newTable(t *testing.T) *registry.Table {
	t.Helper()
	head := registry.SOA{Primary: "control-1", Serial: 1}
	table, err := registry.New(catalog.Apex, catalog.Schema(), head, []string{"control-1"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// configure applies a text as the next version and returns its changes.
func configure(t *testing.T, table *registry.Table, text string) []registry.Record {
	t.Helper()
	document, err := Load(text)
	if err != nil {
		t.Fatal(err)
	}
	header, err := catalog.ReadConfigurationHeader(table.View())
	if err != nil {
		t.Fatal(err)
	}
	changes, err := Changes(table.View(), document, header.Version+1, "anna", text)
	if err != nil {
		t.Fatal(err)
	}
	update := registry.NewUpdate(catalog.Apex, []registry.Record{UnchangedPrerequisite(table.View())}, changes)
	if result := table.Apply(&update, nil); result.Code != registry.NoError {
		t.Fatalf("%s at record %d: %v", result.Code, result.FailedIndex, result.Reason)
	}
	return changes
}

func read(t *testing.T, table *registry.Table) *catalog.State {
	t.Helper()
	state, err := catalog.Read(table.View())
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func TestExamplesAreValidAndReadBack(t *testing.T) {
	capacities := map[string]map[string]int{
		"kodovka": {"north": 5, "central": 4, "south": 3},
		"georgia": {"north": 4, "central": 3, "south": 2},
	}
	for _, deployment := range examples.Deployments() {
		text, err := Example(deployment)
		if err != nil {
			t.Fatal(err)
		}
		table := newTable(t)
		configure(t, table, text)
		state := read(t, table)
		for region, capacity := range capacities[deployment] {
			if got := state.Regions()[region].Capacity; got != capacity {
				t.Errorf("%s: capacity of %s is %d, want %d", deployment, region, got, capacity)
			}
			if got := state.Zones()[region+"-1"].Region; got != region {
				t.Errorf("%s: zone %s-1 is in region %q", deployment, region, got)
			}
		}
		configuration, found := state.Configuration()
		if !found || configuration.Document != text || configuration.Author != "anna" || configuration.Version != 1 {
			t.Errorf("%s: configuration reads back differently", deployment)
		}
	}
	if _, err := Example("elsewhere"); err == nil {
		t.Error("an unknown deployment has an example")
	}
}

// TestJSONEqualsYAML writes the example as JSON, indented by tabs, and compares.
func TestJSONEqualsYAML(t *testing.T) {
	text, err := Example("kodovka")
	if err != nil {
		t.Fatal(err)
	}
	var loose map[string]any
	if err := yaml.Unmarshal([]byte(text), &loose); err != nil {
		t.Fatal(err)
	}
	asJSON, err := json.MarshalIndent(loose, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	fromYAML, yamlErr := Load(text)
	fromJSON, jsonErr := Load(string(asJSON))
	if yamlErr != nil || jsonErr != nil {
		t.Fatalf("YAML: %v, JSON: %v", yamlErr, jsonErr)
	}
	if difference := cmp.Diff(fromYAML, fromJSON, cmpopts.IgnoreUnexported(Document{})); difference != "" {
		t.Errorf("JSON differs from YAML:\n%s", difference)
	}
}

func TestChangesAreMinimal(t *testing.T) {
	table := newTable(t)
	configure(t, table, baseDocument)
	again := configure(t, table, baseDocument)
	if len(again) != 1 || again[0].Type != catalog.TypeConfiguration {
		t.Errorf("the same document again changes %d records, want its header alone", len(again))
	}
	edited := strings.Replace(baseDocument, "capacity: 5", "capacity: 6", 1)
	edited = strings.Replace(edited, "  snippet:\n    service: snippets\n", "", 1)
	want := map[registry.Type]int{catalog.TypeRegion: 1, catalog.TypeRoute: 1, catalog.TypeConfiguration: 1}
	got := map[registry.Type]int{}
	for _, change := range configure(t, table, edited) {
		if change.Type != catalog.TypeDocumentChunk {
			got[change.Type]++
		}
	}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Errorf("changes by kind (-want +got):\n%s", difference)
	}
	chunks := 0
	table.View().Walk(catalog.ParentName(catalog.TypeDocumentChunk), catalog.TypeDocumentChunk, func(registry.Record) bool {
		chunks++
		return true
	})
	if want := len(catalog.SplitChunks(edited)); chunks != want {
		t.Errorf("%d chunks in the table, the document has %d", chunks, want)
	}
	state := read(t, table)
	if _, found := state.Route("snippet"); found || state.Regions()["north"].Capacity != 6 {
		t.Error("the edit is not in the table")
	}
}

// TestGrowthCostsWhatChanged adds one route to many and counts octets.
func TestGrowthCostsWhatChanged(t *testing.T) {
	const routes = 5000
	var text strings.Builder
	text.WriteString(strings.Replace(baseDocument, "clients:\n  branch: north\n", "", 1))
	grown := strings.SplitAfter(text.String(), "routes:\n")
	var many strings.Builder
	for i := range routes {
		fmt.Fprintf(&many, "  grown-%d:\n    service: explain\n    class: quick\n", i)
	}
	table := newTable(t)
	complete := grown[0] + many.String() + grown[1]
	first := configure(t, table, complete)
	if len(first) < routes {
		t.Fatalf("%d changes for %d routes", len(first), routes)
	}
	before := table.Serial()
	configure(t, table, grown[0]+many.String()+"  one-more:\n    service: explain\n"+grown[1])
	difference := table.TransferSince(before)
	data, err := registry.EncodeTransfer(difference)
	if err != nil {
		t.Fatal(err)
	}
	const bound = 40 << 10
	if difference.Full || len(data) > bound {
		t.Errorf("one route more of %d (document of %d octets) transfers %d octets, want at most %d", routes, len(complete), len(data), bound)
	}
	t.Logf("document of %d octets; one more route: %d records, %d octets", len(complete), len(difference.Added)+len(difference.Removed), len(data))
	configuration, _ := read(t, table).Configuration()
	if !strings.Contains(configuration.Document, "one-more") || len(configuration.Document) <= len(complete) {
		t.Error("the grown document does not read back")
	}
}

func TestEvacuationsStayWithTheirZones(t *testing.T) {
	table := newTable(t)
	configure(t, table, baseDocument)
	evacuate := registry.NewUpdate(catalog.Apex, nil, []registry.Record{
		catalog.EvacuationRecord("north-1", catalog.Evacuation{OperationID: "a"}),
		catalog.EvacuationRecord("south-1", catalog.Evacuation{OperationID: "b"}),
	})
	if result := table.Apply(&evacuate, nil); result.Code != registry.NoError {
		t.Fatal(result.Code)
	}
	configure(t, table, strings.Replace(baseDocument, "[south-1]", "[south-2]", 1))
	state := read(t, table)
	if !state.IsEvacuated("north-1") {
		t.Error("the evacuation of a zone that stays is gone")
	}
	if state.IsEvacuated("south-1") {
		t.Error("the evacuation of a removed zone stays")
	}
	if _, found := state.Zones()["south-1"]; found {
		t.Error("a removed zone stays")
	}
}

func TestSecondOfTwoChangesOnOneBaseFails(t *testing.T) {
	table := newTable(t)
	view := table.View()
	document, err := Load(baseDocument)
	if err != nil {
		t.Fatal(err)
	}
	var codes []registry.ResponseCode
	for _, author := range []string{"anna", "boris"} {
		changes, err := Changes(view, document, 1, author, baseDocument)
		if err != nil {
			t.Fatal(err)
		}
		update := registry.NewUpdate(catalog.Apex, []registry.Record{UnchangedPrerequisite(view)}, changes)
		codes = append(codes, table.Apply(&update, nil).Code)
	}
	if codes[0] != registry.NoError || codes[1] != registry.YXRRSet {
		t.Errorf("codes %v, want NOERROR and YXRRSET", codes)
	}
	if _, err := Changes(table.View(), document, 1, "boris", baseDocument); !errors.Is(err, ErrVersion) {
		t.Errorf("the same version again: %v, want ErrVersion", err)
	}
}

func TestSchemaFileIsCurrent(t *testing.T) {
	want, err := JSONSchema()
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../examples/configuration.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Error("examples/configuration.schema.json is not what JSONSchema generates")
	}
}
