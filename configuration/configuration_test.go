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

// configure applies a document's text as the next version and returns the changes.
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
		t.Fatalf("applying the document: %s at record %d: %v", result.Code, result.FailedIndex, result.Reason)
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
			t.Errorf("%s: the configuration read back differs from the one applied", deployment)
		}
	}
	if _, err := Example("elsewhere"); err == nil {
		t.Error("Example returned no error for an unknown deployment")
	}
}

// TestJSONEqualsYAML checks that a document in JSON, indented by tabs, loads like the same
// document in YAML.
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
		t.Errorf("the document from JSON differs (-YAML +JSON):\n%s", difference)
	}
}

func TestChangesAreMinimal(t *testing.T) {
	table := newTable(t)
	configure(t, table, baseDocument)
	again := configure(t, table, baseDocument)
	if len(again) != 1 || again[0].Type != catalog.TypeConfiguration {
		t.Errorf("applying the same document again changes %d records, want only the header", len(again))
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
		t.Errorf("numbers of changes by record type differ (-want +got):\n%s", difference)
	}
	chunks := 0
	table.View().Walk(catalog.ParentName(catalog.TypeDocumentChunk), catalog.TypeDocumentChunk, func(registry.Record) bool {
		chunks++
		return true
	})
	if want := len(catalog.SplitChunks(edited)); chunks != want {
		t.Errorf("%d chunks in the table, want %d as in the document", chunks, want)
	}
	state := read(t, table)
	if _, found := state.Route("snippet"); found || state.Regions()["north"].Capacity != 6 {
		t.Error("the table does not have the edited document")
	}
}

// TestTransferSizeDependsOnDifference adds one route to a document of many routes and
// checks the size of the transfer that replicates the change.
func TestTransferSizeDependsOnDifference(t *testing.T) {
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
		t.Errorf("adding a route to %d (document of %d octets) transfers %d octets, want at most %d", routes, len(complete), len(data), bound)
	}
	t.Logf("document of %d octets; adding a route transfers %d records, %d octets", len(complete), len(difference.Added)+len(difference.Removed), len(data))
	configuration, _ := read(t, table).Configuration()
	if !strings.Contains(configuration.Document, "one-more") || len(configuration.Document) <= len(complete) {
		t.Error("the document read back does not have the added route")
	}
}

func TestEvacuationIsRemovedOnlyWithItsZone(t *testing.T) {
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
		t.Error("the evacuation of a remaining zone was removed")
	}
	if state.IsEvacuated("south-1") {
		t.Error("the evacuation of a removed zone was not removed")
	}
	if _, found := state.Zones()["south-1"]; found {
		t.Error("a zone that the new document omits was not removed")
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
		t.Errorf("response codes %v, want NOERROR and YXRRSET", codes)
	}
	if _, err := Changes(table.View(), document, 1, "boris", baseDocument); !errors.Is(err, ErrVersion) {
		t.Errorf("Changes for the same version: error %v, want ErrVersion", err)
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
		t.Error("examples/configuration.schema.json differs from the output of JSONSchema")
	}
}
