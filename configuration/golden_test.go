package configuration

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/canonical"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files instead of comparing with them")

// goldenText returns the text of a file of the golden tests.
func goldenText(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// compareGolden compares an output with its golden file.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(filepath.Join("testdata", "golden", name), []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if difference := cmp.Diff(goldenText(t, name), got); difference != "" {
		t.Errorf("%s differs (-stored +now):\n%s", name, difference)
	}
}

// goldenDocument returns the content of document.yaml.
func goldenDocument() *Document {
	return &Document{
		Regions: map[string]Region{
			"north": {Zones: []string{"north-1", "north-2"}, Spill: []string{"south"}, Capacity: 5},
			"south": {Zones: []string{"south-1"}, Capacity: 3},
		},
		Services: map[string]Service{
			"explain":  {Kind: "model", MaxConcurrency: 8},
			"snippets": {Kind: "web", MaxConcurrency: 64},
		},
		Routes: map[string]Route{
			"Explain.Long": {Service: "explain", Class: "long", Home: "bank-home", Weight: 4},
			"snippet":      {Service: "snippets"},
		},
		Clients: map[string]string{"branch": "north"},
		Homes:   map[string][]string{"bank-home": {"north", "south"}},
		Tenants: map[string]Tenant{"bank": {Home: "bank-home", Weight: 2}, "shop": {}},
		Limits: Limits{
			RetryRatio: 0.15, QueueLength: 70, TargetUtilization: 0.75, FirstTokenMS: 900, WarmupConcurrency: 2, StreamGapMS: 9000,
		},
		HTTP: HTTP{
			Services: map[string]HTTPService{
				"pool": {MaxConnections: 390, SlowStartRate: 10.5, SlowStartMS: 3000, Slots: 8, CacheTokens: 400_000},
				"web":  {},
			},
			Routes: map[string]HTTPRoute{
				"page": {
					Host: "llm.example", PathPrefix: "/", Kind: "repeatable", TimeoutMS: 500,
					Targets: []HTTPTarget{{Service: "web", Weight: 1}},
				},
				"review": {
					Host: "llm.example", PathPrefix: "/review/", Kind: "stream",
					Targets:   []HTTPTarget{{Service: "pool", Weight: 9}, {Service: "web", Weight: 1}},
					TimeoutMS: 15_000, FirstEventMS: 1000, MaxAttempts: 2, Priority: 1, Resumable: true, Home: "bank-home",
				},
			},
			Limits: HTTPLimits{MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304},
		},
	}
}

// TestGoldenDocument checks the YAML and the JSON form of a document that sets every
// field.
func TestGoldenDocument(t *testing.T) {
	document, err := Load(goldenText(t, "document.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	ignoreLines := cmpopts.IgnoreUnexported(Document{})
	if difference := cmp.Diff(goldenDocument(), document, ignoreLines); difference != "" {
		t.Errorf("document differs (-want +got):\n%s", difference)
	}
	for _, field := range unsetFields(reflect.ValueOf(*document), "Document") {
		t.Errorf("document.yaml does not set %s", field)
	}
	asJSON, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "document.json", string(asJSON)+"\n")
	fromJSON, err := Load(goldenText(t, "document.json"))
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(goldenDocument(), fromJSON, ignoreLines); difference != "" {
		t.Errorf("document from JSON differs (-want +got):\n%s", difference)
	}
}

// unsetFields returns the paths of the exported fields that are zero in a value. A field
// of a map's values is unset if it is zero in all of them.
func unsetFields(value reflect.Value, path string) []string {
	var unset []string
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		name := path + "." + field.Name
		switch inner := value.Field(i); {
		case inner.IsZero():
			unset = append(unset, name)
		case inner.Kind() == reflect.Struct:
			unset = append(unset, unsetFields(inner, name)...)
		case inner.Kind() == reflect.Map && inner.Type().Elem().Kind() == reflect.Struct:
			unset = append(unset, unsetInAll(inner, name)...)
		}
	}
	return unset
}

func unsetInAll(values reflect.Value, path string) []string {
	count := map[string]int{}
	for _, key := range values.MapKeys() {
		for _, name := range unsetFields(values.MapIndex(key), path) {
			count[name]++
		}
	}
	var unset []string
	for name, times := range count {
		if times == values.Len() {
			unset = append(unset, name)
		}
	}
	return unset
}

// goldenUpdate compares the encoding of a configuration's update with a golden file, and
// applies the decoded golden file to the table.
func goldenUpdate(t *testing.T, file string, table *registry.Table, changes []registry.Record) {
	t.Helper()
	update := registry.NewUpdate(catalog.Apex, []registry.Record{UnchangedPrerequisite(table.View())}, changes)
	encoded, err := registry.EncodeUpdate(&update)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, file, hexLines(encoded))
	stored, err := hex.DecodeString(strings.ReplaceAll(goldenText(t, file), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := registry.DecodeUpdate(stored)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(update, decoded, cmpopts.EquateEmpty()); difference != "" {
		t.Errorf("%s decodes differently (-now +stored):\n%s", file, difference)
	}
	if result := table.Apply(&decoded, nil); result.Code != registry.NoError {
		t.Fatalf("applying %s: %s at record %d: %v", file, result.Code, result.FailedIndex, result.Reason)
	}
}

// hexLines formats bytes in hexadecimal, 32 per line.
func hexLines(data []byte) string {
	const lineBytes = 32
	var text strings.Builder
	for start := 0; start < len(data); start += lineBytes {
		text.WriteString(hex.EncodeToString(data[start:min(start+lineBytes, len(data))]))
		text.WriteByte('\n')
	}
	return text.String()
}

// TestGoldenChanges checks the records that store documents and route maps, the order of
// the changes, and the removals by a following document.
func TestGoldenChanges(t *testing.T) {
	table := newTable(t)
	for i, name := range []string{"document", "next"} {
		text := goldenText(t, name+".yaml")
		document, err := Load(text)
		if err != nil {
			t.Fatal(err)
		}
		changes, err := Changes(table.View(), document, uint64(i+1), "anna", text)
		if err != nil {
			t.Fatal(err)
		}
		goldenUpdate(t, name+".update.hex", table, changes)
		configuration, _ := read(t, table).Configuration()
		if configuration.Document != text {
			t.Errorf("document %s is read back as %q", name, configuration.Document)
		}
	}
	changes, err := RouteMapChanges(table.View(), goldenRouteMap(), map[string]string{"zone-a": "north"}, "the map's text\n")
	if err != nil {
		t.Fatal(err)
	}
	goldenUpdate(t, "routemap.update.hex", table, changes)
	if difference := cmp.Diff(goldenRouteMap(), read(t, table).RouteMap()); difference != "" {
		t.Errorf("the route map read back differs (-want +got):\n%s", difference)
	}
}

func goldenRouteMap() *routemap.Map {
	return &routemap.Map{
		Version: 3,
		Services: []routemap.Service{{
			Name: "pool", MaxConnections: 390, SlowStartRate: 10, SlowStartDuration: 3 * time.Second, Slots: 8, CacheTokens: 400_000, HealthPath: "/healthz",
		}},
		Routes: []routemap.Route{{
			Name: "review", Host: "llm.example", PathPrefix: "/review/", Kind: routemap.Stream,
			Targets: []routemap.Target{{Service: "pool", Weight: 9}},
			Timeout: 15 * time.Second, FirstEventTarget: time.Second, EventGapTarget: 33 * time.Millisecond,
			MaxAttempts: 2, Priority: 1, CacheAffinity: true, Resumable: true, HomeRegions: []string{"north"},
		}},
		Limits: routemap.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute},
	}
}

// TestGoldenChange checks how a change of named items is parsed and encoded for other
// nodes.
func TestGoldenChange(t *testing.T) {
	change, err := ParseChange(goldenText(t, "change.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := canonical.Encoding().Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "change.hex", hexLines(encoded))
	stored, err := hex.DecodeString(strings.ReplaceAll(goldenText(t, "change.hex"), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	decoded := reflect.New(reflect.TypeOf(*change))
	if err := canonical.Decoding(canonical.Bounds{}).Unmarshal(stored, decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(change, decoded.Interface()); difference != "" {
		t.Errorf("the decoded change differs (-now +stored):\n%s", difference)
	}
}

// TestGoldenProblem checks the JSON form of a problem, which operators' tools parse.
func TestGoldenProblem(t *testing.T) {
	cases := []struct {
		name    string
		problem Problem
		want    string
	}{
		{
			"every field",
			Problem{Line: 7, Field: "routes.explain-long.service", Reason: `no service "explian"`, Nearest: "explain"},
			`{"line":7,"field":"routes.explain-long.service","reason":"no service \"explian\"","nearest":"explain"}`,
		},
		{"zero fields", Problem{}, `{"line":0,"field":"","reason":""}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := json.Marshal(c.problem)
			if err != nil {
				t.Fatal(err)
			}
			if string(encoded) != c.want {
				t.Errorf("encodes as %s, want %s", encoded, c.want)
			}
			var decoded Problem
			if err := json.Unmarshal([]byte(c.want), &decoded); err != nil || decoded != c.problem {
				t.Errorf("decodes as %+v, %v", decoded, err)
			}
		})
	}
}
