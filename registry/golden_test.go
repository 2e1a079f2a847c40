package registry

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Kinds and names of the tests' table.
const (
	typeMany   = FirstPrivateType + iota // holds any number of records
	typeOne                              // a singleton
	typeKeyed                            // replaces by its first octet
	typeDigits                           // checks its data

	testApex Name = "t."
)

var errNotDigits = errors.New("not digits")

func testSchema() *Schema {
	schema, err := NewSchema(
		Kind{Type: typeMany, Name: "MANY"},
		Kind{Type: typeOne, Name: "ONE", Singleton: true},
		Kind{Type: typeKeyed, Name: "KEYED", Key: func(data []byte) []byte { return data[:min(1, len(data))] }},
		Kind{Type: typeDigits, Name: "DIGITS", Check: func(data []byte) error {
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

// testTable returns a table with members a and b and the records given.
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
		tb.Fatalf("preparing the table: %s at %d", result.Code, result.FailedIndex)
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

// withData returns the record with data of one octet.
func withData(record Record) Record {
	record.Data = []byte("1")
	return record
}

func withClass(record Record, class Class) Record {
	record.Class = class
	return record
}

// dump writes all records but the head, one a line.
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

var members = []Record{rr(testApex, TypeNS, "a"), rr(testApex, TypeNS, "b")}

func TestSection31TableSection(t *testing.T) {
	entry := TableEntry{Name: testApex, Type: TypeSOA, Class: ClassTable}
	cases := []struct {
		name    string
		entries []TableEntry
		want    ResponseCode
	}{
		{"3.1.1 exactly one", []TableEntry{entry}, NoError},
		{"1.1.2 names ignore case", []TableEntry{{Name: "T.", Type: TypeSOA, Class: ClassTable}}, NoError},
		{"3.1.1 none", nil, FormErr},
		{"3.1.1 two", []TableEntry{entry, entry}, FormErr},
		{"3.1.1 not SOA", []TableEntry{{Name: testApex, Type: TypeNS, Class: ClassTable}}, FormErr},
		{"3.1.1 not SOA precedes another name", []TableEntry{{Name: "u.", Type: TypeNS, Class: ClassTable}}, FormErr},
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
				t.Errorf("code %s, changed %v, want %s", result.Code, result.Changed, c.want)
			}
			if c.want != NoError && result.Section != SectionTable {
				t.Errorf("section %q, want %q", result.Section, SectionTable)
			}
		})
	}
}

func TestSection31SecondaryIsToForward(t *testing.T) {
	secondary := NewSecondary(testApex, testSchema())
	update := NewUpdate(testApex, nil, nil)
	if result := secondary.Apply(&update, nil); result.Code != Refused || !errors.Is(result.Reason, ErrSecondary) {
		t.Errorf("code %s, reason %v, want REFUSED and ErrSecondary", result.Code, result.Reason)
	}
	update.Tables[0].Name = "u."
	if result := secondary.Apply(&update, nil); result.Code != NotAuth {
		t.Errorf("code %s for another table, want NOTAUTH", result.Code)
	}
}

func TestSection32Prerequisites(t *testing.T) {
	held := []Record{
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
		{"2.4.1 set exists", []Record{Exists("m.t.", typeMany)}, NoError, -1},
		{"2.4.1 set of another type", []Record{Exists("m.t.", typeOne)}, NXRRSet, 0},
		{"2.4.1 set of another name", []Record{Exists("n.t.", typeMany)}, NXRRSet, 0},
		{"2.4.2 same set", []Record{one, two}, NoError, -1},
		{"2.4.2 order is not compared", []Record{two, one}, NoError, -1},
		{"2.4.2 a repeated member", []Record{one, two, one}, NoError, -1},
		{"2.4.2 a member fewer", []Record{one}, NXRRSet, 0},
		{"2.4.2 a member more", []Record{one, two, three}, NXRRSet, 0},
		{"2.4.2 another member", []Record{one, three}, NXRRSet, 0},
		{"2.4.2 no such set", []Record{InUse("m.t."), Equals(rr("n.t.", typeMany, "1"))}, NXRRSet, 1},
		{"2.4.2 two sets, the second differs", []Record{one, Equals(rr("alias.t.", TypeCNAME, "n.t.")), two}, NXRRSet, 1},
		{"2.4.3 set absent", []Record{Absent("m.t.", typeOne)}, NoError, -1},
		{"2.4.3 set present", []Record{Absent("m.t.", typeMany)}, YXRRSet, 0},
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
		{"3.2 outside", []Record{InUse("m.t."), InUse("m.u.")}, NotZone, 1},
		{"3.2 a suffix without a dot is outside", []Record{NotInUse("mt.")}, NotZone, 0},
		{"3.2 an escaped dot is no border", []Record{NotInUse(`m\.t.`)}, NotZone, 0},
		{"3.2 malformed name", []Record{NotInUse("a..t.")}, FormErr, 0},
		{"3.2.1 lifetime", []Record{withTTL(InUse("m.t."), 1)}, FormErr, 0},
		{"3.2.1 data", []Record{withData(Exists("m.t.", typeMany))}, FormErr, 0},
		{"3.2.2 lifetime", []Record{withTTL(NotInUse("n.t."), 1)}, FormErr, 0},
		{"3.2.2 data", []Record{withData(Absent("n.t.", typeMany))}, FormErr, 0},
		{"3.2.3 lifetime", []Record{withTTL(one, 1), two}, FormErr, 0},
		{"3.2.3 another class", []Record{withClass(one, 3)}, FormErr, 0},
		{"3.2.5 text, not pseudocode: the loop's else does not reject ANY and NONE", []Record{InUse("m.t."), NotInUse("n.t."), one, two}, NoError, -1},
		{"3.2.5 text, not pseudocode: outside precedes lifetime", []Record{withTTL(InUse("m.u."), 1)}, NotZone, 0},
		{"3.2.5 records are judged in order", []Record{NotInUse("m.t."), InUse("m.u.")}, YXDomain, 0},
		{"3.2.5 values are compared last", []Record{one, InUse("n.t.")}, NXDomain, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := testTable(t, held...)
			update := NewUpdate(testApex, c.rrs, []Record{Add(rr("x.t.", typeMany, "1"))})
			result := table.Apply(&update, nil)
			if result.Code != c.want || result.FailedIndex != c.failed {
				t.Errorf("code %s at %d, want %s at %d", result.Code, result.FailedIndex, c.want, c.failed)
			}
			if applied := table.View().InUse("x.t."); applied != (c.want == NoError) {
				t.Errorf("applied: %v", applied)
			}
			if c.want != NoError && (result.Section != SectionPrerequisite || table.Serial() != testSerial+1) {
				t.Errorf("section %q, serial %d", result.Section, table.Serial())
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
		{"3.3.1 refused", nil, good, Refused},
		{"3.2 prerequisites come first", []Record{InUse("x.t.")}, good, NXDomain},
		{"3.4.1 the prescan comes after", nil, bad, Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := testTable(t)
			update := NewUpdate(testApex, c.prerequisites, c.changes)
			result := table.Apply(&update, forbid)
			if result.Code != c.want || table.Serial() != testSerial {
				t.Errorf("code %s, serial %d, want %s", result.Code, table.Serial(), c.want)
			}
			if c.want == Refused && !errors.Is(result.Reason, errForbidden) {
				t.Errorf("reason %v", result.Reason)
			}
		})
	}
}

func TestSection341Prescan(t *testing.T) {
	add := Add(rr("x.t.", typeMany, "1"))
	drop := DeleteRecord(rr("x.t.", typeMany, "1"))
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
		{"3.4.1 outside", Add(rr("x.u.", typeMany, "1")), NotZone},
		{"3.4.1.3 text, not pseudocode: class precedes outside", withClass(rr("x.u.", typeMany, "1"), 3), FormErr},
		{"3.4.1 malformed name", Add(rr(Name(strings.Repeat("x", 64)+".t."), typeMany, "1")), FormErr},
		{"3.4.1.2 add ANY", ofType(add, TypeANY), FormErr},
		{"3.4.1.2 add AXFR", ofType(add, TypeAXFR), FormErr},
		{"3.4.1.2 add MAILA", ofType(add, TypeMAILA), FormErr},
		{"3.4.1.2 add MAILB", ofType(add, TypeMAILB), FormErr},
		{"3.4.1.3 text, not pseudocode: add an unrecognized type", ofType(add, unrecognized), FormErr},
		{"3.4.1.2 delete a record of ANY", ofType(drop, TypeANY), FormErr},
		{"3.4.1.2 delete a record of AXFR", ofType(drop, TypeAXFR), FormErr},
		{"3.4.1.3 text, not pseudocode: delete a record of an unrecognized type", ofType(drop, unrecognized), FormErr},
		{"3.4.1.2 delete a record with a lifetime", withTTL(drop, 1), FormErr},
		{"3.4.1.2 delete a name", DeleteName("x.t."), NoError},
		{"3.4.1.2 delete a set of MAILB", DeleteSet("x.t.", TypeMAILB), FormErr},
		{"3.4.1.2 delete a set of an unrecognized type", DeleteSet("x.t.", unrecognized), FormErr},
		{"3.4.1.2 delete a set with a lifetime", withTTL(DeleteSet("x.t.", typeMany), 1), FormErr},
		{"3.4.1.2 delete a set with data", withData(DeleteSet("x.t.", typeMany)), FormErr},
		{"3.4.1.2 delete a name with data", withData(DeleteName("x.t.")), FormErr},
		{"7.14 data that its kind rejects", Add(rr("x.t.", typeDigits, "one")), FormErr},
		{"7.14 data that its kind accepts", Add(rr("x.t.", typeDigits, "1")), NoError},
		{"7.14 deleting is not checked", DeleteRecord(rr("x.t.", typeDigits, "one")), NoError},
		{"3.4.1 a head that cannot be read", Add(rr(testApex, TypeSOA, "x")), FormErr},
		{"1.1.5 a WKS without address and protocol", Add(rr("x.t.", TypeWKS, "1234")), FormErr},
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
				t.Errorf("failed %d in %q, serial %d, or the first change was applied", result.FailedIndex, result.Section, table.Serial())
			}
		})
	}
}

func TestSection342Changes(t *testing.T) {
	m1, m2 := rr("m.t.", typeMany, "1"), rr("m.t.", typeMany, "2")
	k1, k2 := rr("m.t.", typeKeyed, "a1"), rr("m.t.", typeKeyed, "b1")
	alias := rr("alias.t.", TypeCNAME, "m.t.")
	wks := rr("w.t.", TypeWKS, "1234\x06mask")
	under := rr("cut.t.", TypeNS, "elsewhere")
	note := rr(testApex, typeMany, "note")
	held := []Record{note, alias, under, k1, m1, m2}
	cases := []struct {
		name    string
		before  []Record
		changes []Record
		after   []Record // without the members; nil means as before
		members []Record // nil means as before
	}{
		{"2.5.1 add to a set", []Record{m1}, []Record{Add(m2)}, []Record{m1, m2}, nil},
		{"2.5.1 a duplicate is ignored", []Record{m1}, []Record{Add(m1)}, nil, nil},
		{"3.4.2.2 a duplicate takes the new lifetime", []Record{m1}, []Record{Add(withTTL(m1, 9))}, []Record{withTTL(m1, 9)}, nil},
		{"1.1.5 a singleton is replaced", []Record{rr("m.t.", typeOne, "1")}, []Record{Add(rr("m.t.", typeOne, "2"))}, []Record{rr("m.t.", typeOne, "2")}, nil},
		{"1.1.5 an equal key is replaced", []Record{k1, k2}, []Record{Add(rr("m.t.", typeKeyed, "a2"))}, []Record{rr("m.t.", typeKeyed, "a2"), k2}, nil},
		{"1.1.5 another key is added", []Record{k1}, []Record{Add(k2)}, []Record{k1, k2}, nil},
		{"1.1.5 WKS of the same address and protocol", []Record{wks}, []Record{Add(rr("w.t.", TypeWKS, "1234\x06other"))}, []Record{rr("w.t.", TypeWKS, "1234\x06other")}, nil},
		{"1.1.5 WKS of another protocol", []Record{wks}, []Record{Add(rr("w.t.", TypeWKS, "1234\x11mask"))}, []Record{wks, rr("w.t.", TypeWKS, "1234\x11mask")}, nil},
		{"3.4.2.2 CNAME replaces CNAME (text, not pseudocode)", []Record{alias}, []Record{Add(rr("alias.t.", TypeCNAME, "n.t."))}, []Record{rr("alias.t.", TypeCNAME, "n.t.")}, nil},
		{"3.4.2.2 CNAME beside another kind is ignored", []Record{m1}, []Record{Add(rr("m.t.", TypeCNAME, "n.t."))}, nil, nil},
		{"3.4.2.2 another kind beside CNAME is ignored", []Record{alias}, []Record{Add(rr("alias.t.", typeMany, "1"))}, nil, nil},
		{"3.4.2.2 CNAME at the apex is ignored", nil, []Record{Add(rr(testApex, TypeCNAME, "n."))}, nil, nil},
		{"1.1.2 names ignore case", []Record{m1}, []Record{Add(rr("M.T", typeMany, "2"))}, []Record{m1, m2}, nil},
		{"1.1.3 a wildcard deletes only itself", held, []Record{DeleteName("*.t.")}, nil, nil},
		{"2.5.2 delete a set", []Record{k1, m1, m2}, []Record{DeleteSet("m.t.", typeMany)}, []Record{k1}, nil},
		{"2.5.2 an absent set is ignored", held, []Record{DeleteSet("n.t.", typeMany)}, nil, nil},
		{"3.4.2.3 members at the apex stay", nil, []Record{DeleteSet(testApex, TypeNS)}, nil, nil},
		{"3.4.2.3 the head stays", nil, []Record{DeleteSet(testApex, TypeSOA)}, nil, nil},
		{"3.4.2.3 another set at the apex goes", []Record{note}, []Record{DeleteSet(testApex, typeMany)}, []Record{}, nil},
		{"3.4.2.3 NS below the apex goes", []Record{under}, []Record{DeleteSet("cut.t.", TypeNS)}, []Record{}, nil},
		{"2.5.3 delete a name", []Record{k1, m1, m2}, []Record{DeleteName("m.t.")}, []Record{}, nil},
		{"2.5.3 names below stay", []Record{rr("b.m.t.", typeMany, "1"), m1}, []Record{DeleteName("m.t.")}, []Record{rr("b.m.t.", typeMany, "1")}, nil},
		{"3.4.2.7 text, not pseudocode: deleting the apex keeps head and members", []Record{note}, []Record{DeleteName(testApex)}, []Record{}, nil},
		{"2.5.4 delete a record", []Record{m1, m2}, []Record{DeleteRecord(m1)}, []Record{m2}, nil},
		{"2.5.4 lifetimes are not compared", []Record{withTTL(m1, 60)}, []Record{DeleteRecord(m1)}, []Record{}, nil},
		{"2.5.4 an absent record is ignored", []Record{m1}, []Record{DeleteRecord(m2)}, nil, nil},
		{"2.5.4 a record is deleted by its data, not its key", []Record{k1}, []Record{DeleteRecord(rr("m.t.", typeKeyed, "a2"))}, nil, nil},
		{"3.4.2.4 a member goes", nil, []Record{DeleteRecord(members[0])}, nil, members[1:]},
		{"3.4.2.4 the last member stays", nil, []Record{DeleteRecord(members[0]), DeleteRecord(members[1])}, nil, members[1:]},
		{"3.4.2.4 an absent member beside the last is ignored", nil, []Record{DeleteRecord(members[0]), DeleteRecord(rr(testApex, TypeNS, "c"))}, nil, members[1:]},
		{"3.4.2.4 a member goes after another came", nil, []Record{DeleteRecord(members[0]), Add(rr(testApex, TypeNS, "c")), DeleteRecord(members[1])}, nil, []Record{rr(testApex, TypeNS, "c")}},
		{"3.4.2.7 text, not pseudocode: the last NS below the apex goes", []Record{under}, []Record{DeleteRecord(under)}, []Record{}, nil},
		{"3.4.2 changes are made in order", []Record{m1}, []Record{DeleteName("m.t."), Add(m2)}, []Record{m2}, nil},
		{"3.4.2 changes are made in order, reversed", []Record{m1}, []Record{Add(m2), DeleteName("m.t.")}, []Record{}, nil},
		{"3.4.2 what is undone in the same update is no change", held, []Record{DeleteRecord(m1), Add(m1)}, nil, nil},
		{"7.19 names below a cut are still in the table", []Record{under}, []Record{Add(rr("x.cut.t.", typeMany, "1"))}, []Record{under, rr("x.cut.t.", typeMany, "1")}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := testTable(t, c.before...)
			before, serial := dump(table.View()), table.Serial()
			update := NewUpdate(testApex, nil, c.changes)
			result := table.Apply(&update, nil)
			want := before
			if c.after != nil || c.members != nil {
				kept := c.members
				if kept == nil {
					kept = members
				}
				want = append(lines(kept...), lines(c.after...)...)
			}
			checkTable(t, table, want)
			changed := c.after != nil || c.members != nil
			if result.Code != NoError || result.Changed != changed || (table.Serial() != serial) != changed || result.Serial != table.Serial() {
				t.Errorf("result %+v, serial %d before, %d after, want changed %v", result, serial, table.Serial(), changed)
			}
		})
	}
}

// checkTable compares the records but the head, in the table's order of names.
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
		t.Errorf("length %d, want %d and the head", table.View().Len(), len(want))
	}
}

func TestSection36Serial(t *testing.T) {
	head := func(serial uint32) Record {
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
		{"3.6 (1) each changing update", 10, []Record{change}, 11, "a"},
		{"3.4.2.2 a higher head", 10, []Record{head(11)}, 11, "b"},
		{"3.6 a serial that the update raises is not raised again", 10, []Record{head(50), change}, 50, "b"},
		{"3.4.2.2 text, not pseudocode: an equal head is ignored", 10, []Record{head(10)}, 10, "a"},
		{"3.6 a lower head is ignored", 10, []Record{head(9)}, 10, "a"},
		{"3.6 a lower head beside a change", 10, []Record{head(9), change}, 11, "a"},
		{"RFC 1982 the highest that is still higher", 10, []Record{head(10 + 1<<31 - 1)}, 10 + 1<<31 - 1, "b"},
		{"RFC 1982 2^31 apart is not higher", 10, []Record{head(10 + 1<<31)}, 10, "a"},
		{"RFC 1982 higher past the wrap", 1<<32 - 5, []Record{head(3)}, 3, "b"},
		{"7.11 the increment skips zero", 1<<32 - 1, []Record{change}, 1, "a"},
		{"4.2 a head with serial zero is ignored", 1<<32 - 5, []Record{head(0)}, 1<<32 - 5, "a"},
		{"7.6 a head below the apex is ignored", 10, []Record{Add(SOARecord("x.t.", SOA{Primary: "b", Serial: 99}))}, 10, "a"},
		{"3.4.2.4 the head cannot be deleted", 10, []Record{DeleteRecord(SOARecord(testApex, SOA{Primary: "a", Serial: 10}))}, 10, "a"},
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
				t.Errorf("%s, serial %d, head %+v, want %d by %s", result.Code, result.Serial, table.SOA(), c.want, c.primary)
			}
			records := table.View().Lookup(testApex, TypeSOA)
			if len(records) != 1 || string(records[0].Data) != string(encodeSOA(table.SOA())) {
				t.Errorf("head records %v do not say %+v", records, table.SOA())
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
	var offered Transfer
	result := table.ApplyAndPersist(&update, nil, func(_ Result, transfer Transfer) error {
		offered = transfer
		checkTable(t, table, before) // 3.5: not visible before it is stable
		return errDisk
	})
	if result.Code != ServFail || !errors.Is(result.Reason, errDisk) || result.Serial != testSerial+1 {
		t.Errorf("result %+v, want SERVFAIL", result)
	}
	checkTable(t, table, before)
	if offered.From != testSerial+1 || offered.To != testSerial+2 || len(offered.Added) != 2 || len(offered.Removed) != 2 {
		t.Errorf("the store was offered %+v", offered)
	}
	if difference := table.TransferSince(testSerial + 1); len(difference.Added)+len(difference.Removed) != 0 {
		t.Errorf("the journal kept %+v", difference)
	}
	table.maxRecords = table.View().Len()
	update.Changes = update.Changes[1:]
	if result := table.Apply(&update, nil); result.Code != ServFail || !errors.Is(result.Reason, ErrTableFull) {
		t.Errorf("result %+v in a full table, want SERVFAIL", result)
	}
	checkTable(t, table, before)
}

func TestSection53Marker(t *testing.T) {
	marker := rr("m.t.", typeMany, "old")
	table := testTable(t, marker)
	update := NewUpdate(testApex, []Record{Equals(marker)},
		[]Record{DeleteRecord(marker), Add(rr("m.t.", typeMany, "new")), Add(rr("x.t.", typeMany, "1"))})
	if first := table.Apply(&update, nil); first.Code != NoError || !first.Changed {
		t.Errorf("first: %+v", first)
	}
	if duplicate := table.Apply(&update, nil); duplicate.Code != NXRRSet || duplicate.Changed {
		t.Errorf("duplicate: %+v, want NXRRSET", duplicate)
	}
}

func TestSection22CodesHaveNames(t *testing.T) {
	want := []string{"NOERROR", "FORMERR", "SERVFAIL", "NXDOMAIN", "NOTIMP", "REFUSED", "YXDOMAIN", "YXRRSET", "NXRRSET", "NOTAUTH", "NOTZONE", "RCODE11"}
	for code, name := range want {
		if got := ResponseCode(code).String(); got != name {
			t.Errorf("code %d is %q, want %q", code, got, name)
		}
	}
}
