package registry

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// updateGolden rewrites the files in testdata/golden. They contain encodings that are
// stored on disk and sent between versions, so files may be added but never changed.
var updateGolden = flag.Bool("update-golden", false, "rewrite the files in testdata/golden")

// checkGolden compares an encoding with the golden file of this name, and returns the
// file's content.
func checkGolden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".cbor")
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("%s: encoded as\n%x, want\n%x", path, encoded, golden)
	}
	return golden
}

// goldenApex is the apex of the tables in the golden files.
const goldenApex Name = "deckpulley."

func goldenSOA(serial uint32) SOA {
	return SOA{Primary: "control-1", Serial: serial, Refresh: 900, Expire: 3600}
}

// goldenRecords returns records of each type for which this package has rules and of
// types of the embedding program, some with escapes in the name or with empty data.
func goldenRecords() map[string]Record {
	return map[string]Record{
		"ns":           NSRecord(goldenApex, "control-1"),
		"cname":        rr("alias.deckpulley.", TypeCNAME, "route-a.deckpulley."),
		"soa":          SOARecord(goldenApex, goldenSOA(1<<32-1)),
		"wks":          rr("w.deckpulley.", TypeWKS, "1234\x06mask"),
		"private":      withTTL(rr("route-a.deckpulley.", typeOne, "\x00\xffdata"), 300),
		"private-last": rr("last.deckpulley.", 1<<16-1, "last type"),
		"escaped-name": rr(goldenApex.Child("a.b\\c \xff"), typeMany, "1"),
		"empty-data":   rr("empty.deckpulley.", typeMany, ""),
	}
}

func TestGoldenRecords(t *testing.T) {
	for name, want := range goldenRecords() {
		t.Run(name, func(t *testing.T) {
			golden := checkGolden(t, "record-"+name, encode(want))
			var got Record
			if err := decode(golden, len(golden), "record", &got); err != nil {
				t.Fatal(err)
			}
			if len(want.Data) == 0 {
				want.Data = nil // empty data is not encoded
			}
			if difference := cmp.Diff(want, got); difference != "" {
				t.Errorf("decoded record differs (-want +got):\n%s", difference)
			}
		})
	}
}

func TestGoldenSOAData(t *testing.T) {
	cases := map[string]SOA{
		"soa-data":      goldenSOA(7),
		"soa-data-zero": {},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			golden := checkGolden(t, name, encodeSOA(want))
			if got, err := decodeSOA(golden); err != nil || got != want {
				t.Errorf("decoded %+v, %v, want %+v", got, err, want)
			}
		})
	}
}

// goldenUpdates returns updates with each form of prerequisite and of change (RFC 2136,
// sections 2.4 and 2.5), one with every section and one without any.
func goldenUpdates() map[string]Update {
	route := goldenRecords()["private"]
	prerequisite := func(records ...Record) Update { return NewUpdate(goldenApex, records, nil) }
	change := func(records ...Record) Update { return NewUpdate(goldenApex, nil, records) }
	complete := NewUpdate(goldenApex,
		[]Record{Exists(goldenApex, TypeSOA), Equals(route), NotInUse("route-b.deckpulley.")},
		[]Record{DeleteRecord(route), Add(rr("route-b.deckpulley.", typeMany, "2")), DeleteName("route-c.deckpulley.")})
	complete.Additional = []Record{rr("elsewhere.", typeMany, "hint")}
	complete.Requestor = "control-1"
	return map[string]Update{
		"prerequisite-rrset-exists":        prerequisite(Exists(route.Name, route.Type)),
		"prerequisite-rrset-equals":        prerequisite(Equals(route)),
		"prerequisite-rrset-absent":        prerequisite(Absent(route.Name, route.Type)),
		"prerequisite-name-in-use":         prerequisite(InUse(route.Name)),
		"prerequisite-name-not-in-use":     prerequisite(NotInUse(route.Name)),
		"change-add":                       change(Add(route)),
		"change-add-soa":                   change(Add(SOARecord(goldenApex, goldenSOA(8)))),
		"change-delete-rrset":              change(DeleteRRset(route.Name, route.Type)),
		"change-delete-name":               change(DeleteName(route.Name)),
		"change-delete-record":             change(DeleteRecord(route)),
		"all-sections":                     complete,
		"no-prerequisites-and-no-changes":  NewUpdate(goldenApex, nil, nil),
		"nothing-at-all":                   {},
		"two-tables-and-a-class-undefined": {Tables: []TableEntry{{Name: goldenApex, Type: TypeSOA, Class: ClassTable}, {Name: ".", Type: TypeANY, Class: 3}}},
	}
}

func TestGoldenUpdates(t *testing.T) {
	for name, want := range goldenUpdates() {
		t.Run(name, func(t *testing.T) {
			encoded, err := EncodeUpdate(&want)
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeUpdate(checkGolden(t, "update-"+name, encoded))
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(want, got); difference != "" {
				t.Errorf("decoded update differs (-want +got):\n%s", difference)
			}
		})
	}
}

// goldenTable returns a table at serial 12. The update to serial 11 added two records;
// the update to serial 12 replaced one, deleted the other and added a third.
func goldenTable(t *testing.T) *Table {
	t.Helper()
	table, err := New(goldenApex, testSchema(), goldenSOA(10), []string{"control-1", "control-2"})
	if err != nil {
		t.Fatal(err)
	}
	for _, changes := range [][]Record{
		{Add(rr("route-a.deckpulley.", typeOne, "1")), Add(withTTL(rr("route-b.deckpulley.", typeMany, "2"), 60))},
		{Add(rr("route-a.deckpulley.", typeOne, "3")), DeleteName("route-b.deckpulley."), Add(rr("x.route-a.deckpulley.", TypeCNAME, "route-a.deckpulley."))},
	} {
		update := NewUpdate(goldenApex, nil, changes)
		if result := table.Apply(&update, nil); result.Code != NoError || !result.Changed {
			t.Fatalf("cannot prepare the table: %+v", result)
		}
	}
	return table
}

func TestGoldenSnapshot(t *testing.T) {
	table := goldenTable(t)
	encoded, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden := checkGolden(t, "snapshot", encoded)
	restored, err := Restore(testSchema(), golden)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(again, golden) {
		t.Errorf("the restored table is encoded as %x, error %v, want %x", again, err, golden)
	}
	if restored.SOA() != goldenSOA(12) {
		t.Errorf("the restored table has SOA %+v, want %+v", restored.SOA(), goldenSOA(12))
	}
	if difference := cmp.Diff(dump(table.View()), dump(restored.View())); difference != "" {
		t.Errorf("restored table differs (-want +got):\n%s", difference)
	}
}

func TestGoldenTransfers(t *testing.T) {
	table := goldenTable(t)
	oldRoute, newRoute := rr("route-a.deckpulley.", typeOne, "1"), rr("route-a.deckpulley.", typeOne, "3")
	alias := rr("x.route-a.deckpulley.", TypeCNAME, "route-a.deckpulley.")
	cases := map[string]struct {
		from uint32
		want Transfer
	}{
		"full": {0, Transfer{Full: true, To: 12, Added: []Record{
			NSRecord(goldenApex, "control-1"), NSRecord(goldenApex, "control-2"),
			SOARecord(goldenApex, goldenSOA(12)), newRoute, alias,
		}}},
		"incremental": {11, Transfer{
			From: 11, To: 12,
			Removed: []Record{oldRoute, withTTL(rr("route-b.deckpulley.", typeMany, "2"), 60), SOARecord(goldenApex, goldenSOA(11))},
			Added:   []Record{newRoute, alias, SOARecord(goldenApex, goldenSOA(12))},
		}},
		"incremental-of-two-updates": {10, Transfer{
			From: 10, To: 12,
			Removed: []Record{SOARecord(goldenApex, goldenSOA(10))},
			Added:   []Record{newRoute, alias, SOARecord(goldenApex, goldenSOA(12))},
		}},
		"of-nothing": {12, Transfer{From: 12, To: 12}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			encoded, err := EncodeTransfer(table.TransferSince(c.from))
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeTransfer(checkGolden(t, "transfer-"+name, encoded))
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(c.want, got); difference != "" {
				t.Errorf("decoded transfer differs (-want +got):\n%s", difference)
			}
		})
	}
}

// TestGoldenNumbers checks the numbers that are stored and sent.
func TestGoldenNumbers(t *testing.T) {
	types := map[Type]uint16{
		TypeNS: 2, TypeCNAME: 5, TypeSOA: 6, TypeWKS: 11, TypeAXFR: 252,
		TypeMAILB: 253, TypeMAILA: 254, TypeANY: 255, FirstPrivateType: 1024,
	}
	for got, want := range types {
		if uint16(got) != want {
			t.Errorf("record type is %d, want %d", got, want)
		}
	}
	classes := map[Class]uint16{ClassTable: 1, ClassNone: 254, ClassAny: 255}
	for got, want := range classes {
		if uint16(got) != want {
			t.Errorf("class is %d, want %d", got, want)
		}
	}
	codes := map[ResponseCode]uint8{
		NoError: 0, FormErr: 1, ServFail: 2, NXDomain: 3, NotImp: 4, Refused: 5,
		YXDomain: 6, YXRRSet: 7, NXRRSet: 8, NotAuth: 9, NotZone: 10,
	}
	for got, want := range codes {
		if uint8(got) != want {
			t.Errorf("response code is %d, want %d", got, want)
		}
	}
	if snapshotFormat != 1 {
		t.Errorf("snapshot format is %d, want 1", snapshotFormat)
	}
}
