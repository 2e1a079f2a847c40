package registry

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Record types and apex of the table in the tests.
const (
	typeMany   = FirstPrivateType + iota // any number of records at a name
	typeOne                              // a singleton
	typeKeyed                            // the first octet of the data is the key
	typeDigits                           // the data must be digits

	testApex Name = "t."
)

var errNotDigits = errors.New("not digits")

func testSchema() *Schema {
	schema, err := NewSchema(
		TypeDeclaration{Type: typeMany, Name: "MANY"},
		TypeDeclaration{Type: typeOne, Name: "ONE", Singleton: true},
		TypeDeclaration{Type: typeKeyed, Name: "KEYED", Key: func(data []byte) []byte { return data[:min(1, len(data))] }},
		TypeDeclaration{Type: typeDigits, Name: "DIGITS", Check: func(data []byte) error {
			if strings.Trim(string(data), "0123456789") != "" {
				return errNotDigits
			}
			return nil
		}},
	)
	if err != nil {
		panic(err)
	}
	return schema
}

const testSerial = 10

// testTable returns a table with NS records for a and b, and the given records.
func testTable(tb testing.TB, records ...Record) *Table {
	tb.Helper()
	table, err := New(testApex, testSchema(), SOA{Primary: "a", Serial: testSerial, Refresh: 900, Expire: 3600}, []string{"a", "b"})
	if err != nil {
		tb.Fatal(err)
	}
	if len(records) == 0 {
		return table
	}
	update := NewUpdate(testApex, nil, records)
	if result := table.Apply(&update, nil); result.Code != NoError {
		tb.Fatalf("cannot prepare the table: %s at record %d", result.Code, result.FailedIndex)
	}
	return table
}

// rr returns a record of the table's class.
func rr(name Name, recordType Type, data string) Record {
	return Record{Name: name, Type: recordType, Class: ClassTable, Data: []byte(data)}
}

func withTTL(record Record, ttl uint32) Record {
	record.TTL = ttl
	return record
}

// withData returns the record with one octet of data.
func withData(record Record) Record {
	record.Data = []byte("1")
	return record
}

func withClass(record Record, class Class) Record {
	record.Class = class
	return record
}

// dump returns all records except the SOA record, one per line.
func dump(view View) []string {
	var lines []string
	view.Walk(Root, TypeANY, func(record Record) bool {
		if record.Type != TypeSOA {
			lines = append(lines, line(record))
		}
		return true
	})
	return lines
}

func line(record Record) string {
	return fmt.Sprintf("%s %d %d %s", record.Name, record.Type, record.TTL, record.Data)
}

func lines(records ...Record) []string {
	var written []string
	for _, record := range records {
		written = append(written, line(record))
	}
	return written
}

var nsRecords = []Record{rr(testApex, TypeNS, "a"), rr(testApex, TypeNS, "b")}

func TestSection31TableSection(t *testing.T) {
	entry := TableEntry{Name: testApex, Type: TypeSOA, Class: ClassTable}
	cases := []struct {
		name    string
		entries []TableEntry
		want    ResponseCode
	}{
		{"3.1.1 exactly one entry", []TableEntry{entry}, NoError},
		{"1.1.2 names ignore case", []TableEntry{{Name: "T.", Type: TypeSOA, Class: ClassTable}}, NoError},
		{"3.1.1 no entry", nil, FormErr},
		{"3.1.1 two entries", []TableEntry{entry, entry}, FormErr},
		{"3.1.1 not SOA", []TableEntry{{Name: testApex, Type: TypeNS, Class: ClassTable}}, FormErr},
		{"3.1.1 the type is checked before the name", []TableEntry{{Name: "u.", Type: TypeNS, Class: ClassTable}}, FormErr},
		{"3.1.1 malformed name", []TableEntry{{Name: "..", Type: TypeSOA, Class: ClassTable}}, FormErr},
		{"3.1.1 another name", []TableEntry{{Name: "u.", Type: TypeSOA, Class: ClassTable}}, NotAuth},
		{"3.1.1 a name below", []TableEntry{{Name: "a.t.", Type: TypeSOA, Class: ClassTable}}, NotAuth},
		{"3.1.1 another class", []TableEntry{{Name: testApex, Type: TypeSOA, Class: ClassAny}}, NotAuth},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			update := Update{Tables: c.entries, Changes: []Record{Add(rr("x.t.", typeMany, "1"))}}
			result := testTable(t).Apply(&update, nil)
			if result.Code != c.want || result.Changed != (c.want == NoError) {
				t.Errorf("code %s, changed %v, want %s and a change only for NOERROR", result.Code, result.Changed, c.want)
			}
			if c.want != NoError && result.Section != SectionTable {
				t.Errorf("section %q, want %q", result.Section, SectionTable)
			}
		})
	}
}

func TestSection31SecondaryRefusesUpdate(t *testing.T) {
	secondary := NewSecondary(testApex, testSchema())
	update := NewUpdate(testApex, nil, nil)
	if result := secondary.Apply(&update, nil); result.Code != Refused || !errors.Is(result.Reason, ErrSecondary) {
		t.Errorf("code %s, reason %v, want REFUSED and ErrSecondary", result.Code, result.Reason)
	}
	update.Tables[0].Name = "u."
	if result := secondary.Apply(&update, nil); result.Code != NotAuth {
		t.Errorf("code %s for another table's name, want NOTAUTH", result.Code)
	}
}

func TestSection32Prerequisites(t *testing.T) {
	existing := []Record{
		withTTL(rr("m.t.", typeMany, "1"), 60), rr("m.t.", typeMany, "2"),
		rr("*.t.", typeMany, "star"), rr("alias.t.", TypeCNAME, "m.t."),
		rr("leaf.empty.t.", typeMany, "x"),
	}
	one, two := Equals(rr("m.t.", typeMany, "1")), Equals(rr("m.t.", typeMany, "2"))
	three := Equals(rr("m.t.", typeMany, "3"))
	cases := []struct {
		name   string
		rrs    []Record
		want   ResponseCode
		failed int
	}{
		{"2.4.1 RRset exists", []Record{Exists("m.t.", typeMany)}, NoError, -1},
		{"2.4.1 RRset of another type", []Record{Exists("m.t.", typeOne)}, NXRRSet, 0},
		{"2.4.1 RRset of another name", []Record{Exists("n.t.", typeMany)}, NXRRSet, 0},
		{"2.4.2 equal RRset", []Record{one, two}, NoError, -1},
		{"2.4.2 order is not compared", []Record{two, one}, NoError, -1},
		{"2.4.2 a duplicate record", []Record{one, two, one}, NoError, -1},
		{"2.4.2 one record too few", []Record{one}, NXRRSet, 0},
		{"2.4.2 one record too many", []Record{one, two, three}, NXRRSet, 0},
		{"2.4.2 another record", []Record{one, three}, NXRRSet, 0},
		{"2.4.2 no such RRset", []Record{InUse("m.t."), Equals(rr("n.t.", typeMany, "1"))}, NXRRSet, 1},
		{"2.4.2 two RRsets, the second differs", []Record{one, Equals(rr("alias.t.", TypeCNAME, "n.t.")), two}, NXRRSet, 1},
		{"2.4.3 RRset absent", []Record{Absent("m.t.", typeOne)}, NoError, -1},
		{"2.4.3 RRset present", []Record{Absent("m.t.", typeMany)}, YXRRSet, 0},
		{"2.4.4 name in use", []Record{InUse("m.t.")}, NoError, -1},
		{"2.4.4 name not in use", []Record{InUse("n.t.")}, NXDomain, 0},
		{"2.4.4 empty nonterminal", []Record{InUse("empty.t.")}, NXDomain, 0},
		{"2.4.5 name not in use", []Record{NotInUse("n.t.")}, NoError, -1},
		{"2.4.5 empty nonterminal", []Record{NotInUse("empty.t.")}, NoError, -1},
		{"2.4.5 name in use", []Record{NotInUse("m.t.")}, YXDomain, 0},
		{"1.1.2 names ignore case", []Record{Exists("M.T", typeMany), NotInUse("N.T.")}, NoError, -1},
		{"1.1.3 a wildcard matches itself", []Record{Exists("*.t.", typeMany)}, NoError, -1},
		{"1.1.3 a wildcard matches nothing else", []Record{Exists("other.t.", typeMany)}, NXRRSet, 0},
		{"1.1.4 aliases are not followed", []Record{Exists("alias.t.", typeMany)}, NXRRSet, 0},
		{"3.2 a name outside the table", []Record{InUse("m.t."), InUse("m.u.")}, NotZone, 1},
		{"3.2 a name that ends with the apex but not at a label is outside", []Record{NotInUse("mt.")}, NotZone, 0},
		{"3.2 an escaped dot does not separate labels", []Record{NotInUse(`m\.t.`)}, NotZone, 0},
		{"3.2 malformed name", []Record{NotInUse("a..t.")}, FormErr, 0},
		{"3.2.1 nonzero TTL", []Record{withTTL(InUse("m.t."), 1)}, FormErr, 0},
		{"3.2.1 unexpected data", []Record{withData(Exists("m.t.", typeMany))}, FormErr, 0},
		{"3.2.2 nonzero TTL", []Record{withTTL(NotInUse("n.t."), 1)}, FormErr, 0},
		{"3.2.2 unexpected data", []Record{withData(Absent("n.t.", typeMany))}, FormErr, 0},
		{"3.2.3 nonzero TTL", []Record{withTTL(one, 1), two}, FormErr, 0},
		{"3.2.3 another class", []Record{withClass(one, 3)}, FormErr, 0},
		{"3.2.5 text, not pseudocode: classes ANY and NONE are not rejected by the last else", []Record{InUse("m.t."), NotInUse("n.t."), one, two}, NoError, -1},
		{"3.2.5 text, not pseudocode: the name is checked before the TTL", []Record{withTTL(InUse("m.u."), 1)}, NotZone, 0},
		{"3.2.5 records are checked in order", []Record{NotInUse("m.t."), InUse("m.u.")}, YXDomain, 0},
		{"3.2.5 values are compared last", []Record{one, InUse("n.t.")}, NXDomain, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := testTable(t, existing...)
			update := NewUpdate(testApex, c.rrs, []Record{Add(rr("x.t.", typeMany, "1"))})
			result := table.Apply(&update, nil)
			if result.Code != c.want || result.FailedIndex != c.failed {
				t.Errorf("code %s at record %d, want %s at record %d", result.Code, result.FailedIndex, c.want, c.failed)
			}
			if applied := table.View().InUse("x.t."); applied != (c.want == NoError) {
				t.Errorf("the change was applied: %v, want it only for NOERROR", applied)
			}
			if c.want != NoError && (result.Section != SectionPrerequisite || table.Serial() != testSerial+1) {
				t.Errorf("section %q, serial %d, want the prerequisite section and an unchanged serial", result.Section, table.Serial())
			}
		})
	}
}

func TestSection33Permission(t *testing.T) {
	errForbidden := errors.New("forbidden")
	forbid := func(*Update) error { return errForbidden }
	bad := []Record{withClass(rr("x.t.", typeMany, "1"), 3)}
	good := []Record{Add(rr("x.t.", typeMany, "1"))}
	cases := []struct {
		name          string
		prerequisites []Record
		changes       []Record
		want          ResponseCode
	}{
		{"3.3.1 the policy refuses the update", nil, good, Refused},
		{"3.2 prerequisites are checked before permission", []Record{InUse("x.t.")}, good, NXDomain},
		{"3.4.1 permission is checked before the prescan", nil, bad, Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := testTable(t)
			update := NewUpdate(testApex, c.prerequisites, c.changes)
			result := table.Apply(&update, forbid)
			if result.Code != c.want || table.Serial() != testSerial {
				t.Errorf("code %s, serial %d, want %s and an unchanged serial", result.Code, table.Serial(), c.want)
			}
			if c.want == Refused && !errors.Is(result.Reason, errForbidden) {
				t.Errorf("reason %v, want the error of the policy", result.Reason)
			}
		})
	}
}

func TestSection341Prescan(t *testing.T) {
	add := Add(rr("x.t.", typeMany, "1"))
	deletion := DeleteRecord(rr("x.t.", typeMany, "1"))
	const unrecognized = FirstPrivateType + 500
	ofType := func(record Record, recordType Type) Record {
		record.Type = recordType
		return record
	}
	cases := []struct {
		name string
		rr   Record
		want ResponseCode
	}{
		{"3.4.1 another class", withClass(add, 3), FormErr},
		{"3.4.1 a name outside the table", Add(rr("x.u.", typeMany, "1")), NotZone},
		{"3.4.1.3 text, not pseudocode: the class is checked before the name", withClass(rr("x.u.", typeMany, "1"), 3), FormErr},
		{"3.4.1 malformed name", Add(rr(Name(strings.Repeat("x", 64)+".t."), typeMany, "1")), FormErr},
		{"3.4.1.2 add ANY", ofType(add, TypeANY), FormErr},
		{"3.4.1.2 add AXFR", ofType(add, TypeAXFR), FormErr},
		{"3.4.1.2 add MAILA", ofType(add, TypeMAILA), FormErr},
		{"3.4.1.2 add MAILB", ofType(add, TypeMAILB), FormErr},
		{"3.4.1.3 text, not pseudocode: add an unrecognized type", ofType(add, unrecognized), FormErr},
		{"3.4.1.2 delete a record of ANY", ofType(deletion, TypeANY), FormErr},
		{"3.4.1.2 delete a record of AXFR", ofType(deletion, TypeAXFR), FormErr},
		{"3.4.1.3 text, not pseudocode: delete a record of an unrecognized type", ofType(deletion, unrecognized), FormErr},
		{"3.4.1.2 delete a record with a nonzero TTL", withTTL(deletion, 1), FormErr},
		{"3.4.1.2 delete a name", DeleteName("x.t."), NoError},
		{"3.4.1.2 delete an RRset of MAILB", DeleteRRset("x.t.", TypeMAILB), FormErr},
		{"3.4.1.2 delete an RRset of an unrecognized type", DeleteRRset("x.t.", unrecognized), FormErr},
		{"3.4.1.2 delete an RRset with a nonzero TTL", withTTL(DeleteRRset("x.t.", typeMany), 1), FormErr},
		{"3.4.1.2 delete an RRset with data", withData(DeleteRRset("x.t.", typeMany)), FormErr},
		{"3.4.1.2 delete a name with data", withData(DeleteName("x.t.")), FormErr},
		{"7.14 data that the type's Check rejects", Add(rr("x.t.", typeDigits, "one")), FormErr},
		{"7.14 data that the type's Check accepts", Add(rr("x.t.", typeDigits, "1")), NoError},
		{"7.14 data of a deletion is not checked", DeleteRecord(rr("x.t.", typeDigits, "one")), NoError},
		{"3.4.1 an SOA record that cannot be decoded", Add(rr(testApex, TypeSOA, "x")), FormErr},
		{"1.1.5 a WKS record without address and protocol", Add(rr("x.t.", TypeWKS, "1234")), FormErr},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := testTable(t)
			update := NewUpdate(testApex, nil, []Record{Add(rr("first.t.", typeMany, "1")), c.rr})
			result := table.Apply(&update, nil)
			if result.Code != c.want {
				t.Errorf("code %s, want %s", result.Code, c.want)
			}
			if c.want == NoError {
				return
			}
			if result.FailedIndex != 1 || result.Section != SectionChange || table.View().InUse("first.t.") || table.Serial() != testSerial {
				t.Errorf("failed at record %d of section %q, serial %d, want record 1 of the change section and no change", result.FailedIndex, result.Section, table.Serial())
			}
		})
	}
}

func TestSection342Changes(t *testing.T) {
	m1, m2 := rr("m.t.", typeMany, "1"), rr("m.t.", typeMany, "2")
	k1, k2 := rr("m.t.", typeKeyed, "a1"), rr("m.t.", typeKeyed, "b1")
	alias := rr("alias.t.", TypeCNAME, "m.t.")
	wks := rr("w.t.", TypeWKS, "1234\x06mask")
	delegation := rr("cut.t.", TypeNS, "elsewhere")
	apexRecord := rr(testApex, typeMany, "note")
	existing := []Record{apexRecord, alias, delegation, k1, m1, m2}
	cases := []struct {
		name      string
		before    []Record
		changes   []Record
		after     []Record // without the NS records at the apex; nil means unchanged
		nsRecords []Record // NS records at the apex; nil means unchanged
	}{
		{"2.5.1 add to an RRset", []Record{m1}, []Record{Add(m2)}, []Record{m1, m2}, nil},
		{"2.5.1 a duplicate is ignored", []Record{m1}, []Record{Add(m1)}, nil, nil},
		{"3.4.2.2 a duplicate replaces the TTL", []Record{m1}, []Record{Add(withTTL(m1, 9))}, []Record{withTTL(m1, 9)}, nil},
		{"1.1.5 a singleton is replaced", []Record{rr("m.t.", typeOne, "1")}, []Record{Add(rr("m.t.", typeOne, "2"))}, []Record{rr("m.t.", typeOne, "2")}, nil},
		{"1.1.5 an equal key is replaced", []Record{k1, k2}, []Record{Add(rr("m.t.", typeKeyed, "a2"))}, []Record{rr("m.t.", typeKeyed, "a2"), k2}, nil},
		{"1.1.5 another key is added", []Record{k1}, []Record{Add(k2)}, []Record{k1, k2}, nil},
		{"1.1.5 WKS of the same address and protocol is replaced", []Record{wks}, []Record{Add(rr("w.t.", TypeWKS, "1234\x06other"))}, []Record{rr("w.t.", TypeWKS, "1234\x06other")}, nil},
		{"1.1.5 WKS of another protocol is added", []Record{wks}, []Record{Add(rr("w.t.", TypeWKS, "1234\x11mask"))}, []Record{wks, rr("w.t.", TypeWKS, "1234\x11mask")}, nil},
		{"3.4.2.2 CNAME replaces CNAME (text, not pseudocode)", []Record{alias}, []Record{Add(rr("alias.t.", TypeCNAME, "n.t."))}, []Record{rr("alias.t.", TypeCNAME, "n.t.")}, nil},
		{"3.4.2.2 CNAME at a name with another type is ignored", []Record{m1}, []Record{Add(rr("m.t.", TypeCNAME, "n.t."))}, nil, nil},
		{"3.4.2.2 another type at a name with CNAME is ignored", []Record{alias}, []Record{Add(rr("alias.t.", typeMany, "1"))}, nil, nil},
		{"3.4.2.2 CNAME at the apex is ignored", nil, []Record{Add(rr(testApex, TypeCNAME, "n."))}, nil, nil},
		{"1.1.2 names ignore case", []Record{m1}, []Record{Add(rr("M.T", typeMany, "2"))}, []Record{m1, m2}, nil},
		{"1.1.3 a wildcard deletes only itself", existing, []Record{DeleteName("*.t.")}, nil, nil},
		{"2.5.2 delete an RRset", []Record{k1, m1, m2}, []Record{DeleteRRset("m.t.", typeMany)}, []Record{k1}, nil},
		{"2.5.2 deleting an absent RRset is ignored", existing, []Record{DeleteRRset("n.t.", typeMany)}, nil, nil},
		{"3.4.2.3 NS records at the apex are not deleted", nil, []Record{DeleteRRset(testApex, TypeNS)}, nil, nil},
		{"3.4.2.3 the SOA record is not deleted", nil, []Record{DeleteRRset(testApex, TypeSOA)}, nil, nil},
		{"3.4.2.3 another RRset at the apex is deleted", []Record{apexRecord}, []Record{DeleteRRset(testApex, typeMany)}, []Record{}, nil},
		{"3.4.2.3 NS records below the apex are deleted", []Record{delegation}, []Record{DeleteRRset("cut.t.", TypeNS)}, []Record{}, nil},
		{"2.5.3 delete a name", []Record{k1, m1, m2}, []Record{DeleteName("m.t.")}, []Record{}, nil},
		{"2.5.3 names below are not deleted", []Record{rr("b.m.t.", typeMany, "1"), m1}, []Record{DeleteName("m.t.")}, []Record{rr("b.m.t.", typeMany, "1")}, nil},
		{"3.4.2.7 text, not pseudocode: deleting the apex does not delete its SOA and NS records", []Record{apexRecord}, []Record{DeleteName(testApex)}, []Record{}, nil},
		{"2.5.4 delete a record", []Record{m1, m2}, []Record{DeleteRecord(m1)}, []Record{m2}, nil},
		{"2.5.4 TTLs are not compared", []Record{withTTL(m1, 60)}, []Record{DeleteRecord(m1)}, []Record{}, nil},
		{"2.5.4 deleting an absent record is ignored", []Record{m1}, []Record{DeleteRecord(m2)}, nil, nil},
		{"2.5.4 a record is deleted by its data, not its key", []Record{k1}, []Record{DeleteRecord(rr("m.t.", typeKeyed, "a2"))}, nil, nil},
		{"3.4.2.4 an NS record at the apex is deleted", nil, []Record{DeleteRecord(nsRecords[0])}, nil, nsRecords[1:]},
		{"3.4.2.4 the last NS record at the apex is not deleted", nil, []Record{DeleteRecord(nsRecords[0]), DeleteRecord(nsRecords[1])}, nil, nsRecords[1:]},
		{"3.4.2.4 deleting an absent NS record while one is left is ignored", nil, []Record{DeleteRecord(nsRecords[0]), DeleteRecord(rr(testApex, TypeNS, "c"))}, nil, nsRecords[1:]},
		{"3.4.2.4 an NS record at the apex is deleted after another was added", nil, []Record{DeleteRecord(nsRecords[0]), Add(rr(testApex, TypeNS, "c")), DeleteRecord(nsRecords[1])}, nil, []Record{rr(testApex, TypeNS, "c")}},
		{"3.4.2.7 text, not pseudocode: the last NS record below the apex is deleted", []Record{delegation}, []Record{DeleteRecord(delegation)}, []Record{}, nil},
		{"3.4.2 changes are applied in order", []Record{m1}, []Record{DeleteName("m.t."), Add(m2)}, []Record{m2}, nil},
		{"3.4.2 changes are applied in order, reversed", []Record{m1}, []Record{Add(m2), DeleteName("m.t.")}, []Record{}, nil},
		{"3.4.2 a deletion undone in the same update is no change", existing, []Record{DeleteRecord(m1), Add(m1)}, nil, nil},
		{"7.19 names below a delegation are still in the table", []Record{delegation}, []Record{Add(rr("x.cut.t.", typeMany, "1"))}, []Record{delegation, rr("x.cut.t.", typeMany, "1")}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := testTable(t, c.before...)
			before, serial := dump(table.View()), table.Serial()
			update := NewUpdate(testApex, nil, c.changes)
			result := table.Apply(&update, nil)
			want := before
			if c.after != nil || c.nsRecords != nil {
				nsRecordsAfter := c.nsRecords
				if nsRecordsAfter == nil {
					nsRecordsAfter = nsRecords
				}
				want = append(lines(nsRecordsAfter...), lines(c.after...)...)
			}
			checkTable(t, table, want)
			changed := c.after != nil || c.nsRecords != nil
			if result.Code != NoError || result.Changed != changed || (table.Serial() != serial) != changed || result.Serial != table.Serial() {
				t.Errorf("result %+v, serial %d before and %d after the update, want changed %v", result, serial, table.Serial(), changed)
			}
		})
	}
}

// checkTable checks that the table has exactly the wanted records and an SOA record.
func checkTable(t *testing.T, table *Table, want []string) {
	t.Helper()
	got := map[string]int{}
	for _, record := range dump(table.View()) {
		got[record]++
	}
	wanted := map[string]int{}
	for _, record := range want {
		wanted[record]++
	}
	if difference := cmp.Diff(wanted, got); difference != "" {
		t.Errorf("records differ (-want +got):\n%s", difference)
	}
	if table.View().Len() != len(want)+1 {
		t.Errorf("the table has %d records, want %d and the SOA record", table.View().Len(), len(want))
	}
}

func TestSection36Serial(t *testing.T) {
	soa := func(serial uint32) Record {
		return Add(SOARecord(testApex, SOA{Primary: "b", Serial: serial}))
	}
	change := Add(rr("x.t.", typeMany, "1"))
	cases := []struct {
		name    string
		start   uint32
		changes []Record
		want    uint32
		primary string
	}{
		{"an update that changes nothing", 10, nil, 10, "a"},
		{"3.6 (1) an update that changes something", 10, []Record{change}, 11, "a"},
		{"3.4.2.2 an SOA record with a higher serial", 10, []Record{soa(11)}, 11, "b"},
		{"3.6 a serial that the update sets is not incremented as well", 10, []Record{soa(50), change}, 50, "b"},
		{"3.4.2.2 text, not pseudocode: an SOA record with an equal serial is ignored", 10, []Record{soa(10)}, 10, "a"},
		{"3.6 an SOA record with a lower serial is ignored", 10, []Record{soa(9)}, 10, "a"},
		{"3.6 an SOA record with a lower serial and a change", 10, []Record{soa(9), change}, 11, "a"},
		{"RFC 1982 the greatest increment that is still higher", 10, []Record{soa(10 + 1<<31 - 1)}, 10 + 1<<31 - 1, "b"},
		{"RFC 1982 a serial 2^31 apart is not higher", 10, []Record{soa(10 + 1<<31)}, 10, "a"},
		{"RFC 1982 a higher serial after wrapping around", 1<<32 - 5, []Record{soa(3)}, 3, "b"},
		{"7.11 the increment skips zero", 1<<32 - 1, []Record{change}, 1, "a"},
		{"4.2 an SOA record with serial zero is ignored", 1<<32 - 5, []Record{soa(0)}, 1<<32 - 5, "a"},
		{"7.6 an SOA record below the apex is ignored", 10, []Record{Add(SOARecord("x.t.", SOA{Primary: "b", Serial: 99}))}, 10, "a"},
		{"3.4.2.4 the SOA record cannot be deleted", 10, []Record{DeleteRecord(SOARecord(testApex, SOA{Primary: "a", Serial: 10}))}, 10, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, err := New(testApex, testSchema(), SOA{Primary: "a", Serial: c.start}, []string{"a"})
			if err != nil {
				t.Fatal(err)
			}
			update := NewUpdate(testApex, nil, c.changes)
			result := table.Apply(&update, nil)
			if result.Code != NoError || result.Serial != c.want || table.SOA() != (SOA{Primary: c.primary, Serial: c.want}) {
				t.Errorf("code %s, serial %d, SOA %+v, want serial %d and primary %s", result.Code, result.Serial, table.SOA(), c.want, c.primary)
			}
			records := table.View().Lookup(testApex, TypeSOA)
			if len(records) != 1 || string(records[0].Data) != string(encodeSOA(table.SOA())) {
				t.Errorf("SOA records %v differ from the SOA %+v", records, table.SOA())
			}
		})
	}
}

func TestSection3421UndoOnFailure(t *testing.T) {
	errDisk := errors.New("no space left")
	m1 := rr("m.t.", typeMany, "1")
	table := testTable(t, m1)
	before := dump(table.View())
	update := NewUpdate(testApex, nil, []Record{DeleteName("m.t."), Add(rr("x.t.", typeMany, "1"))})
	var persisted Transfer
	result := table.ApplyAndPersist(&update, nil, func(_ Result, transfer Transfer) error {
		persisted = transfer
		checkTable(t, table, before) // section 3.5: the change is not visible before it is persisted
		return errDisk
	})
	if result.Code != ServFail || !errors.Is(result.Reason, errDisk) || result.Serial != testSerial+1 {
		t.Errorf("result %+v, want SERVFAIL, the error of persist and an unchanged serial", result)
	}
	checkTable(t, table, before)
	if persisted.From != testSerial+1 || persisted.To != testSerial+2 || len(persisted.Added) != 2 || len(persisted.Removed) != 2 {
		t.Errorf("persist was called with %+v, want two records removed and two added", persisted)
	}
	if difference := table.TransferSince(testSerial + 1); len(difference.Added)+len(difference.Removed) != 0 {
		t.Errorf("the journal contains the rolled back change: %+v", difference)
	}
	table.maxRecords = table.View().Len()
	update.Changes = update.Changes[1:]
	if result := table.Apply(&update, nil); result.Code != ServFail || !errors.Is(result.Reason, ErrTableFull) {
		t.Errorf("result %+v for a full table, want SERVFAIL and ErrTableFull", result)
	}
	checkTable(t, table, before)
}

func TestSection53Marker(t *testing.T) {
	marker := rr("m.t.", typeMany, "old")
	table := testTable(t, marker)
	update := NewUpdate(testApex, []Record{Equals(marker)},
		[]Record{DeleteRecord(marker), Add(rr("m.t.", typeMany, "new")), Add(rr("x.t.", typeMany, "1"))})
	if first := table.Apply(&update, nil); first.Code != NoError || !first.Changed {
		t.Errorf("first result %+v, want NOERROR and a change", first)
	}
	if duplicate := table.Apply(&update, nil); duplicate.Code != NXRRSet || duplicate.Changed {
		t.Errorf("result of the duplicate %+v, want NXRRSET and no change", duplicate)
	}
}

func TestSection22CodesHaveNames(t *testing.T) {
	want := []string{"NOERROR", "FORMERR", "SERVFAIL", "NXDOMAIN", "NOTIMP", "REFUSED", "YXDOMAIN", "YXRRSET", "NXRRSET", "NOTAUTH", "NOTZONE", "RCODE11"}
	for code, name := range want {
		if got := ResponseCode(code).String(); got != name {
			t.Errorf("mnemonic of code %d is %q, want %q", code, got, name)
		}
	}
}
