package registry

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// model is a simple reference implementation of a table: a list of records that each
// step scans.
type model struct {
	records []Record // without the SOA record
	soa     SOA
}

func (m *model) count(match func(Record) bool) int {
	total := 0
	for _, record := range m.all() {
		if match(record) {
			total++
		}
	}
	return total
}

func (m *model) all() []Record {
	return append(slices.Clone(m.records), SOARecord(testApex, m.soa))
}

func sameName(a, b Record) bool { return strings.EqualFold(string(a.Name), string(b.Name)) }

func sameSet(a, b Record) bool { return sameName(a, b) && a.Type == b.Type }

func outside(record Record) bool {
	name := strings.ToLower(string(record.Name))
	return name != "t." && !strings.HasSuffix(name, ".t.")
}

// prerequisite checks one record as in sections 3.2.1 to 3.2.3.
func (m *model) prerequisite(record Record) ResponseCode {
	inUse := m.count(func(r Record) bool { return sameName(r, record) }) > 0
	exists := m.count(func(r Record) bool { return sameSet(r, record) }) > 0
	isAny := record.Type == TypeANY
	switch {
	case outside(record):
		return NotZone
	case record.TTL != 0:
		return FormErr
	case record.Class == ClassTable:
		return NoError
	case record.Class != ClassAny && record.Class != ClassNone, len(record.Data) > 0:
		return FormErr
	case record.Class == ClassAny && isAny && !inUse:
		return NXDomain
	case record.Class == ClassAny && !isAny && !exists:
		return NXRRSet
	case record.Class == ClassNone && isAny && inUse:
		return YXDomain
	case record.Class == ClassNone && !isAny && exists:
		return YXRRSet
	}
	return NoError
}

func (m *model) prerequisites(section []Record) ResponseCode {
	for _, record := range section {
		if code := m.prerequisite(record); code != NoError {
			return code
		}
	}
	for _, required := range section {
		if required.Class == ClassTable && !m.hasExactly(required, section) {
			return NXRRSet
		}
	}
	return NoError
}

// hasExactly checks the RRset of one required record as in section 3.2.3: it must exist,
// and the table and the section must contain the same records of it.
func (m *model) hasExactly(required Record, section []Record) bool {
	exists := m.count(func(r Record) bool { return sameSet(r, required) }) > 0
	return exists && containsSet(section, m.all(), required) && containsSet(m.all(), section, required)
}

// containsSet reports whether records has every record in others that belongs to the
// RRset of set.
func containsSet(records, others []Record, set Record) bool {
	for _, other := range others {
		if other.Class != ClassTable || !sameSet(other, set) {
			continue
		}
		if !slices.ContainsFunc(records, func(r Record) bool {
			return r.Class == ClassTable && sameSet(r, other) && bytes.Equal(r.Data, other.Data)
		}) {
			return false
		}
	}
	return true
}

func (m *model) prescan(section []Record) ResponseCode {
	known := []Type{TypeNS, TypeCNAME, TypeSOA, TypeWKS, typeMany, typeOne, typeKeyed, typeDigits}
	for _, record := range section {
		isKnown := slices.Contains(known, record.Type)
		switch {
		case record.Class != ClassTable && record.Class != ClassAny && record.Class != ClassNone:
			return FormErr
		case outside(record):
			return NotZone
		case !isKnown && (record.Class != ClassAny || record.Type != TypeANY):
			return FormErr
		case record.Class != ClassTable && record.TTL != 0:
			return FormErr
		case record.Class == ClassAny && len(record.Data) > 0:
			return FormErr
		}
	}
	return NoError
}

func (m *model) remove(match func(Record) bool) {
	m.records = slices.DeleteFunc(m.records, match)
}

// change applies one record of the update section as in sections 3.4.2.2 to 3.4.2.4.
func (m *model) change(record Record) {
	record.Name = Name(strings.ToLower(string(record.Name)))
	atApex := record.Name == testApex
	switch record.Class {
	case ClassTable:
		m.add(record)
	case ClassAny:
		m.remove(func(r Record) bool {
			protected := atApex && (r.Type == TypeNS || r.Type == TypeSOA)
			return sameName(r, record) && !protected && (record.Type == TypeANY || record.Type == r.Type)
		})
	case ClassNone:
		lastMember := m.count(func(r Record) bool { return r.Name == testApex && r.Type == TypeNS }) == 1
		if atApex && record.Type == TypeNS && lastMember {
			return
		}
		m.remove(func(r Record) bool { return sameSet(r, record) && bytes.Equal(r.Data, record.Data) })
	}
}

func (m *model) add(record Record) {
	if record.Type == TypeSOA {
		soa, _ := decodeSOA(record.Data)
		if record.Name == testApex && soa.Serial != 0 && int32(soa.Serial-m.soa.Serial) > 0 {
			m.soa = soa
		}
		return
	}
	for _, r := range m.all() {
		if sameName(r, record) && (r.Type == TypeCNAME) != (record.Type == TypeCNAME) {
			return
		}
	}
	m.remove(func(r Record) bool {
		if !sameSet(r, record) {
			return false
		}
		singleton := r.Type == TypeCNAME || r.Type == typeOne
		keyed := r.Type == typeKeyed && string(r.Data[:min(1, len(r.Data))]) == string(record.Data[:min(1, len(record.Data))])
		return singleton || keyed || bytes.Equal(r.Data, record.Data)
	})
	m.records = append(m.records, record)
}

// apply applies an update and returns its code. The serial is incremented once if any
// record has changed and the update has not set the serial.
func (m *model) apply(update Update) ResponseCode {
	if code := m.prerequisites(update.Prerequisites); code != NoError {
		return code
	}
	if code := m.prescan(update.Changes); code != NoError {
		return code
	}
	before, serial := m.dump(), m.soa.Serial
	for _, record := range update.Changes {
		m.change(record)
	}
	if m.soa.Serial == serial && !slices.Equal(before, m.dump()) {
		m.soa.Serial++
		if m.soa.Serial == 0 {
			m.soa.Serial = 1
		}
	}
	return NoError
}

func (m *model) dump() []string {
	written := lines(m.records...)
	slices.Sort(written)
	return written
}

func sorted(lines []string) []string {
	slices.Sort(lines)
	return lines
}

// drawRecord draws a record from few names and values, so that records often coincide.
func drawRecord(t *rapid.T, serial uint32) Record {
	record := Record{
		Name:  rapid.SampledFrom([]Name{"t.", "a.t.", "A.t.", "b.t.", "x.b.t.", "*.t.", "u."}).Draw(t, "name"),
		Type:  rapid.SampledFrom([]Type{typeMany, typeMany, typeOne, typeKeyed, TypeNS, TypeCNAME, TypeSOA, TypeANY, TypeAXFR, 9999}).Draw(t, "type"),
		Class: rapid.SampledFrom([]Class{ClassTable, ClassTable, ClassTable, ClassAny, ClassNone, 7}).Draw(t, "class"),
		TTL:   rapid.SampledFrom([]uint32{0, 0, 0, 60}).Draw(t, "ttl"),
	}
	if record.Type == TypeSOA && record.Class == ClassTable {
		offset := rapid.SampledFrom([]uint32{0, 1, 5, 1 << 31, 1<<31 - 1, 1<<32 - 3}).Draw(t, "offset")
		record.Data = encodeSOA(SOA{Primary: "a", Serial: serial + offset})
		return record
	}
	if record.Class != ClassAny || rapid.IntRange(0, 9).Draw(t, "unexpected data") == 0 {
		record.Data = []byte(rapid.SampledFrom([]string{"a1", "a2", "b1", ""}).Draw(t, "data"))
	}
	return record
}

// drawPrerequisite draws the records of a prerequisite. Most are well-formed, so that
// they are satisfied or not by the content of the table.
func drawPrerequisite(t *rapid.T, m *model) []Record {
	switch rapid.IntRange(0, 5).Draw(t, "prerequisite") {
	case 0:
		record := drawRecord(t, m.soa.Serial)
		return []Record{Exists(record.Name, record.Type)}
	case 1:
		record := drawRecord(t, m.soa.Serial)
		return []Record{Absent(record.Name, record.Type)}
	case 2:
		return []Record{InUse(drawRecord(t, m.soa.Serial).Name)}
	case 3:
		return []Record{NotInUse(drawRecord(t, m.soa.Serial).Name)}
	case 4:
		required := rapid.SampledFrom(m.all()).Draw(t, "present")
		var set []Record
		for _, record := range m.all() {
			if sameSet(record, required) {
				set = append(set, Equals(record))
			}
		}
		return set
	}
	return []Record{drawRecord(t, m.soa.Serial)}
}

// takenView is a view with its serial and records at the time when it was taken.
type takenView struct {
	view   View
	serial uint32
	dump   []string
}

// TestTableEqualsModel applies random updates to a table and to the model, and compares
// them. A secondary receives transfers at random intervals. Views must not change after
// they are taken, and restoring a snapshot must give an equal table.
func TestTableEqualsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.SampledFrom([]uint32{1, 10, 1<<31 - 2, 1<<32 - 3}).Draw(t, "start")
		soa := SOA{Primary: "a", Serial: start}
		table, err := New(testApex, testSchema(), soa, []string{"a", "b"})
		if err != nil {
			t.Fatal(err)
		}
		reference := &model{records: slices.Clone(nsRecords), soa: soa}
		secondary := NewSecondary(testApex, testSchema())
		var views []takenView
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			applyToBoth(t, table, reference)
			if rapid.Bool().Draw(t, "transfer") {
				secondary = replicate(t, table, secondary)
			}
			views = append(views, takenView{view: table.View(), serial: table.Serial(), dump: dump(table.View())})
		}
		replicate(t, table, secondary)
		for _, taken := range views {
			if taken.view.Serial() != taken.serial || !slices.Equal(dump(taken.view), taken.dump) {
				t.Fatalf("the view at serial %d changed after it was taken", taken.serial)
			}
		}
	})
}

// applyToBoth applies a random update to the table and the model, and checks that their
// results and records are equal.
func applyToBoth(t *rapid.T, table *Table, reference *model) {
	t.Helper()
	update := drawUpdate(t, reference)
	want := reference.apply(update)
	result := table.Apply(&update, nil)
	if result.Code != want || table.SOA() != reference.soa {
		t.Fatalf("the table has code %s and SOA %+v, the model %s and %+v", result.Code, table.SOA(), want, reference.soa)
	}
	if difference := cmp.Diff(reference.dump(), sorted(dump(table.View()))); difference != "" {
		t.Fatalf("records differ (-model +table):\n%s", difference)
	}
}

func drawUpdate(t *rapid.T, reference *model) Update {
	update := NewUpdate(testApex, nil, nil)
	for range rapid.IntRange(0, 2).Draw(t, "prerequisites") {
		update.Prerequisites = append(update.Prerequisites, drawPrerequisite(t, reference)...)
	}
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		update.Changes = append(update.Changes, drawRecord(t, reference.soa.Serial))
	}
	return update
}

// replicate updates the secondary by an encoded transfer, compares its snapshot with the
// table's and returns the secondary. A secondary that is 2^31 or more serials behind must
// reject the transfer, since by RFC 1982 the new serial is not higher, and is replaced by
// an empty one.
func replicate(t *rapid.T, table, secondary *Table) *Table {
	t.Helper()
	data, err := EncodeTransfer(table.TransferSince(secondary.Serial()))
	if err != nil {
		t.Fatal(err)
	}
	transfer, err := DecodeTransfer(data)
	if err != nil {
		t.Fatal(err)
	}
	if transfer.Full != (secondary.Serial() == 0) {
		t.Fatalf("full transfer: %v, want it only for an empty secondary; serial of the secondary %d", transfer.Full, secondary.Serial())
	}
	serial := secondary.Serial()
	unordered := serial != 0 && serial != table.Serial() && !SerialLess(serial, table.Serial())
	err = secondary.ApplyTransfer(transfer)
	if unordered && errors.Is(err, ErrNotNewer) && secondary.Serial() == serial {
		return replicate(t, table, NewSecondary(testApex, testSchema()))
	}
	if unordered || err != nil {
		t.Fatalf("ApplyTransfer from serial %d to %d returned %v", serial, transfer.To, err)
	}
	want, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	got, err := secondary.Snapshot()
	if err != nil || !bytes.Equal(got, want) {
		t.Fatalf("the secondary differs from the table after %+v, error %v", transfer, err)
	}
	restored, err := Restore(testSchema(), want)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(again, want) {
		t.Fatalf("the restored table differs from the table, error %v", err)
	}
	return secondary
}
