package catalog

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files instead of comparing with them")

// goldenRecordsFile has one record per line: case, type number, class, TTL, name and
// data in hexadecimal. Running fleets have stored these bytes: a difference means that
// stored data can no longer be read.
const goldenRecordsFile = "testdata/golden_records.tsv"

// goldenRecord is a value and the record that stores it.
type goldenRecord struct {
	name   string
	value  any
	record registry.Record
}

func golden(name string, value any, record registry.Record) goldenRecord {
	return goldenRecord{name: name, value: value, record: record}
}

// longObject is a name that needs several labels, since each escaped octet takes three.
const longObject = "Bank/Analysis.Quarterly_Report:2026/Explain-Every-Number@Northern.Region"

const goldenDocument = "regions:\n  north: {zones: [north-1], capacity: 5}\n"

func goldenRecords() []goldenRecord {
	chunks, digests := ChunkRecords(goldenDocument)
	configuration := Configuration{Version: 1<<40 + 7, Author: "anna", Chunks: digests}
	service := Service{Kind: "model", MaxConcurrency: 8}
	route := Route{Service: "explain", Class: "long", Home: "bank-home", Weight: 3}
	region := Region{Spill: []string{"south", "west"}, Capacity: 5}
	limits := Limits{RetryRatio: 0.15, QueueLength: 70, TargetUtilization: 0.75, FirstTokenMS: 900, WarmupConcurrency: 2, StreamGapMS: 9000}
	replica := Replica{Service: "explain", Zone: "north-1", Region: "north", Address: "10.0.0.7:8000", Slots: 4}
	warmingUp := Condition{State: ConditionWarmingUp, Incarnation: "2f", WarmupGateway: "gateway-1"}
	gateway := Gateway{
		Incarnation: "1a", Zone: "north-1", Region: "north", PeerAddress: "10.0.0.8:7400", HTTPAddress: "10.0.0.8:7401",
		Up: true, MayHoldLease: true, LinkMbps: 25_000,
	}
	accepted := OperationResult{Digest: 1<<63 + 5, Accepted: true, Version: 7, Sequence: 300}
	rejected := OperationResult{Digest: 9, Version: 7, Sequence: 301, Code: "invalid", Reason: "is not a zone", Field: "zone"}
	pathRoute := routemap.Route{
		Name: "review", Host: "llm.example", PathPrefix: "/review/", Kind: routemap.Stream,
		Targets: []routemap.Target{{Service: "pool", Weight: 9}, {Service: "web", Weight: 1}},
		Timeout: 15 * time.Second, FirstEventTarget: time.Second, EventGapTarget: 33 * time.Millisecond,
		MaxAttempts: 2, Priority: 1, CacheAffinity: true, Resumable: true, HomeRegions: []string{"north"},
	}
	pool := routemap.Service{
		Name: "pool", MaxConnections: 390, SlowStartRate: 10, SlowStartDuration: 3 * time.Second, Slots: 8, CacheTokens: 400_000, HealthPath: "/healthz",
	}
	requestLimits := routemap.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	return []goldenRecord{
		golden("configuration", configuration, ConfigurationRecord(configuration)),
		golden("configuration, zero fields", Configuration{}, ConfigurationRecord(Configuration{})),
		golden("document chunk", goldenDocument, chunks[0]),
		golden("service", service, ServiceRecord("explain", service)),
		golden("route", route, RouteRecord("Explain.Long", route)),
		golden("route, zero fields", Route{Service: "explain"}, RouteRecord("explain", Route{Service: "explain"})),
		golden("route, long name", route, RouteRecord(longObject, route)),
		golden("region", region, RegionRecord("north", region)),
		golden("region, zero fields", Region{}, RegionRecord("south", Region{})),
		golden("zone", Zone{Region: "north"}, ZoneRecord("north-1", Zone{Region: "north"})),
		golden("evacuation", Evacuation{Author: "anna", OperationID: "op-1"}, EvacuationRecord("north-1", Evacuation{Author: "anna", OperationID: "op-1"})),
		golden("evacuation, zero fields", Evacuation{}, EvacuationRecord("south-1", Evacuation{})),
		golden("client", Client{Region: "north"}, ClientRecord("branch", Client{Region: "north"})),
		golden("home", Home{Regions: []string{"north", "south"}}, HomeRecord("bank-home", Home{Regions: []string{"north", "south"}})),
		golden("home, zero fields", Home{}, HomeRecord("no-home", Home{})),
		golden("tenant", Tenant{Home: "bank-home", Weight: 2}, TenantRecord("bank", Tenant{Home: "bank-home", Weight: 2})),
		golden("tenant, zero fields", Tenant{}, TenantRecord("other", Tenant{})),
		golden("limits", limits, LimitsRecord(limits)),
		golden("limits, zero fields", Limits{}, LimitsRecord(Limits{})),
		golden("replica", replica, ReplicaRecord("replica-1", replica)),
		golden("replica, zero fields", Replica{}, ReplicaRecord("replica-2", Replica{})),
		golden("drain", Drain{Reason: "kernel update"}, DrainRecord("replica-1", Drain{Reason: "kernel update"})),
		golden("drain, zero fields", Drain{}, DrainRecord("replica-2", Drain{})),
		golden("condition, warming up", warmingUp, ConditionRecord("replica-1", warmingUp)),
		golden("condition, up", Condition{State: ConditionUp}, ConditionRecord("replica-2", Condition{State: ConditionUp})),
		golden("condition, draining", Condition{State: ConditionDraining}, ConditionRecord("replica-3", Condition{State: ConditionDraining})),
		golden("condition, down", Condition{State: ConditionDown}, ConditionRecord("replica-4", Condition{State: ConditionDown})),
		golden("gateway", gateway, GatewayRecord("gateway-1", gateway)),
		golden("gateway, zero fields", Gateway{}, GatewayRecord("gateway-2", Gateway{})),
		golden("operation, accepted", accepted, OperationResultRecord("op-1", accepted)),
		golden("operation, rejected", rejected, OperationResultRecord("Op_2", rejected)),
		golden("route by path", pathRoute, PathRouteRecord(pathRoute)),
		golden("route by path, zero fields", routemap.Route{Name: "page"}, PathRouteRecord(routemap.Route{Name: "page"})),
		golden("service of routes by path", pool, HTTPServiceRecord(pool)),
		golden("service of routes by path, zero fields", routemap.Service{Name: "web"}, HTTPServiceRecord(routemap.Service{Name: "web"})),
		golden("limits of requests", requestLimits, RequestLimitsRecord(requestLimits)),
		golden("limits of requests, zero fields", routemap.Limits{}, RequestLimitsRecord(routemap.Limits{})),
	}
}

// TestGoldenRecords checks for each kind of record that the stored bytes decode to the
// value that was stored, and that the value encodes to the same record.
func TestGoldenRecords(t *testing.T) {
	cases := goldenRecords()
	if *updateGolden {
		writeGoldenRecords(t, cases)
	}
	stored := readGoldenRecords(t)
	if len(stored) != len(cases) {
		t.Errorf("%d golden records, %d cases", len(stored), len(cases))
	}
	covered := map[registry.Type]bool{}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want, found := stored[c.name]
			if !found {
				t.Fatal("the golden file has no record of this case")
			}
			covered[want.Type] = true
			if difference := cmp.Diff(want, c.record); difference != "" {
				t.Errorf("the encoded record differs (-stored +now):\n%s", difference)
			}
			checkData(t, want)
			if difference := cmp.Diff(c.value, decodeLike(t, c.value, want.Data)); difference != "" {
				t.Errorf("the decoded value differs (-want +got):\n%s", difference)
			}
		})
	}
	for name, recordType := range goldenTypes {
		if !covered[recordType] {
			t.Errorf("no golden record of type %s", name)
		}
	}
}

// checkData checks that the schema accepts the data of a record.
func checkData(t *testing.T, record registry.Record) {
	t.Helper()
	kind, known := Schema().Kind(record.Type)
	if !known {
		t.Fatalf("type %d is not in the schema", record.Type)
	}
	if kind.Check == nil {
		return
	}
	if err := kind.Check(record.Data); err != nil {
		t.Errorf("the schema rejects the stored bytes: %v", err)
	}
}

// decodeLike decodes data as the type of the example. A string is returned unchanged.
func decodeLike(t *testing.T, example any, data []byte) any {
	t.Helper()
	if _, isText := example.(string); isText {
		return string(data)
	}
	value := reflect.New(reflect.TypeOf(example))
	if err := decode(data, value.Interface()); err != nil {
		t.Fatal(err)
	}
	return value.Elem().Interface()
}

func writeGoldenRecords(t *testing.T, cases []goldenRecord) {
	t.Helper()
	var text bytes.Buffer
	text.WriteString("# case\ttype\tclass\tTTL\tname\tdata\n")
	for _, c := range cases {
		fmt.Fprintf(&text, "%s\t%d\t%d\t%d\t%s\t%x\n", c.name, c.record.Type, c.record.Class, c.record.TTL, c.record.Name, c.record.Data)
	}
	if err := os.WriteFile(goldenRecordsFile, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readGoldenRecords(t *testing.T) map[string]registry.Record {
	t.Helper()
	text, err := os.ReadFile(goldenRecordsFile)
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]registry.Record{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "\t")
		if len(fields) != 6 {
			t.Fatalf("%d fields in %q", len(fields), line)
		}
		if _, repeated := records[fields[0]]; repeated {
			t.Fatalf("two golden records of case %q", fields[0])
		}
		data, err := hex.DecodeString(fields[5])
		if err != nil {
			t.Fatal(err)
		}
		records[fields[0]] = registry.Record{
			Type:  registry.Type(parseNumber(t, fields[1], 16)),
			Class: registry.Class(parseNumber(t, fields[2], 16)),
			TTL:   uint32(parseNumber(t, fields[3], 32)),
			Name:  registry.Name(fields[4]),
			Data:  data,
		}
	}
	return records
}

func parseNumber(t *testing.T, text string, bits int) uint64 {
	t.Helper()
	number, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// goldenTypes are the stored numbers of the record types by their names in the schema.
var goldenTypes = map[string]registry.Type{
	"CONFIGURATION": 1024,
	"SERVICE":       1025,
	"ROUTE":         1026,
	"REGION":        1027,
	"ZONE":          1028,
	"EVACUATION":    1029,
	"CLIENT":        1030,
	"HOME":          1031,
	"TENANT":        1032,
	"LIMITS":        1033,
	"REPLICA":       1034,
	"DRAIN":         1035,
	"CONDITION":     1036,
	"GATEWAY":       1037,
	"ORDER":         1038,
	"DOCUMENT":      1039,
	"PATHROUTE":     1040,
	"POOL":          1041,
	"REQUESTLIMITS": 1042,
}

func TestGoldenTypes(t *testing.T) {
	for name, recordType := range goldenTypes {
		kind, known := Schema().Kind(recordType)
		if !known || kind.Name != name || !kind.Singleton {
			t.Errorf("type %d is %q (known %v, singleton %v), want a singleton %s", recordType, kind.Name, known, kind.Singleton, name)
		}
	}
}

// TestGoldenNames checks the registry names under which objects are stored.
func TestGoldenNames(t *testing.T) {
	cases := map[string]registry.Name{
		"explain":                         "explain.tenants.places.",
		"0-9-az":                          "0-9-az.tenants.places.",
		"Explain.Long_v2":                 "_45xplain_2e_4cong_5fv2.tenants.places.",
		"a/b:c@d+e":                       "a_2fb_3ac_40d_2be.tenants.places.",
		"\x00\xff":                        "_00_ff.tenants.places.",
		strings.Repeat("a", 63):           registry.Name(strings.Repeat("a", 63) + ".tenants.places."),
		"Bank/Northern.Region/2026/Audit": "_42ank_2f_4eorthern_2e_52egion_2f2026_2f_41udit.tenants.places.",
		strings.Repeat("z", 64): "ujqf9t7kujqf9t7kujqf9t7kujqf9t7kujqf9t7kug." +
			"__f9t7kujqf9t7kujqf9t7kujqf9t7kujqf9t7kujqf9t7kujqf9t7kujqf9t7k.tenants.places.",
		strings.Repeat("~", 128): "7svjufpv7svjufpv7s.svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv." +
			"vjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7.__fpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7svjufpv7s.tenants.places.",
	}
	for object, want := range cases {
		if got := TenantName(object); got != want {
			t.Errorf("TenantName(%q) = %q, want %q", object, got, want)
		}
		if back, err := ObjectName(want); err != nil || back != object {
			t.Errorf("ObjectName(%q) = %q, %v, want %q", want, back, err, object)
		}
	}
}

// goldenChunksFile has the digests of a document's chunks in order, one per line.
const goldenChunksFile = "testdata/golden_chunks.txt"

// TestGoldenChunks checks the boundaries of a document's chunks and their digests: a
// node with other boundaries would replace every chunk of a stored document.
func TestGoldenChunks(t *testing.T) {
	var document strings.Builder
	for i := range 200 {
		fmt.Fprintf(&document, "  route-%d: {service: explain, class: quick}\n", i)
	}
	document.WriteString(strings.Repeat("x", maxChunkBytes+100))
	records, digests := ChunkRecords(document.String())
	var text strings.Builder
	for _, digest := range digests {
		fmt.Fprintf(&text, "%x\n", digest)
	}
	if *updateGolden {
		if err := os.WriteFile(goldenChunksFile, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenChunksFile)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(string(want), text.String()); difference != "" {
		t.Errorf("chunks differ (-stored +now):\n%s", difference)
	}
	for i, record := range records {
		if name := registry.Name(fmt.Sprintf("%x.documents.places.", digests[i])); record.Name != name || record.Type != 1039 {
			t.Errorf("chunk %d is %s of type %d, want %s", i, record.Name, record.Type, name)
		}
	}
	if len(records) != len(digests) || len(records) < 3 {
		t.Errorf("%d records for %d chunks, want one for each and at least 3", len(records), len(digests))
	}
}
