package registry

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
)

// addRecords applies count updates that add one record each.
func addRecords(tb testing.TB, table *Table, count int) {
	tb.Helper()
	for i := range count {
		update := NewUpdate(testApex, nil, []Record{Add(rr(testApex.Child(fmt.Sprintf("n%d", i)), typeOne, "1"))})
		if result := table.Apply(&update, nil); result.Code != NoError {
			tb.Fatal(result.Code)
		}
	}
}

func TestJournalLimits(t *testing.T) {
	table := testTable(t)
	addRecords(t, table, MaxJournalUpdates+1)
	if transfer := table.TransferSince(testSerial + 1); transfer.Full || len(transfer.Added) != MaxJournalUpdates+1 {
		t.Errorf("from the oldest serial in the journal: full transfer %v, %d records added", transfer.Full, len(transfer.Added))
	}
	if transfer := table.TransferSince(testSerial); !transfer.Full {
		t.Error("incremental transfer from a serial before the journal, want a full one")
	}
	if transfer := table.TransferSince(table.Serial() + 1); !transfer.Full {
		t.Error("incremental transfer from a serial that the table has not reached, want a full one")
	}
	large := make([]byte, MaxDataBytes)
	for i := range MaxJournalBytes/MaxDataBytes + 1 {
		large[0], large[1] = byte(i), byte(i>>8)
		update := NewUpdate(testApex, nil, []Record{Add(rr("large.t.", typeOne, string(large)))})
		if result := table.Apply(&update, nil); result.Code != NoError {
			t.Fatal(result.Code)
		}
	}
	if table.journal.bytes > MaxJournalBytes {
		t.Errorf("the journal has %d octets, want at most %d", table.journal.bytes, MaxJournalBytes)
	}
	records, size := 0, 0
	for _, entry := range table.journal.entries {
		r, s := transferSize(entry)
		records, size = records+r, size+s
	}
	if records != table.journal.records || size != table.journal.bytes {
		t.Errorf("the journal counts %d records and %d octets, but contains %d and %d", table.journal.records, table.journal.bytes, records, size)
	}
}

func TestIncrementalTransferHasOnlyChanges(t *testing.T) {
	table := testTable(t)
	addRecords(t, table, 2000)
	from := table.Serial()
	update := NewUpdate(testApex, nil, []Record{Add(rr("n7.t.", typeOne, "2")), Add(rr("new.t.", typeOne, "1"))})
	table.Apply(&update, nil)
	transfer := table.TransferSince(from)
	if transfer.Full || len(transfer.Removed) != 2 || len(transfer.Added) != 3 {
		t.Errorf("transfer %+v, want the old record and SOA removed, two records and the SOA added", transfer)
	}
}

func TestApplyTransferRejects(t *testing.T) {
	primary := testTable(t)
	full := primary.TransferSince(0)
	serial := primary.Serial()
	addRecords(t, primary, 1)
	next := primary.TransferSince(serial)
	alter := func(change func(*Transfer)) Transfer {
		altered := next
		altered.Added = slices.Clone(next.Added)
		altered.Removed = slices.Clone(next.Removed)
		change(&altered)
		return altered
	}
	cases := []struct {
		name     string
		transfer Transfer
		want     error
	}{
		{"gap", alter(func(x *Transfer) { x.From++ }), ErrGap},
		{"lower serial", Transfer{Full: true, To: serial - 1, Added: full.Added}, ErrNotNewer},
		{"serial 2^31 higher", Transfer{Full: true, To: serial + 1<<31, Added: full.Added}, ErrNotNewer},
		{"removes a record that does not exist", alter(func(x *Transfer) { x.Removed = append(x.Removed, rr("z.t.", typeOne, "1")) }), ErrTransfer},
		{"adds a record that exists", alter(func(x *Transfer) { x.Added = append(x.Added, nsRecords[0]) }), ErrTransfer},
		{"name outside the table", alter(func(x *Transfer) { x.Added = append(x.Added, rr("z.u.", typeOne, "1")) }), ErrTransfer},
		{"name in upper case", alter(func(x *Transfer) { x.Added = append(x.Added, rr("Z.t.", typeOne, "1")) }), ErrTransfer},
		{"malformed name", alter(func(x *Transfer) { x.Added = append(x.Added, rr("", typeOne, "1")) }), ErrTransfer},
		{"unrecognized type", alter(func(x *Transfer) { x.Added = append(x.Added, rr("z.t.", 9999, "1")) }), ErrTransfer},
		{"class NONE", alter(func(x *Transfer) { x.Added = append(x.Added, withClass(rr("z.t.", typeOne, "1"), ClassNone)) }), ErrTransfer},
		{"serial differs from the SOA record", alter(func(x *Transfer) { x.To++ }), ErrTransfer},
		{"without the new SOA record", alter(func(x *Transfer) { x.Added = x.Added[:0] }), ErrTransfer},
		{"two SOA records", alter(func(x *Transfer) { x.Removed = nil }), ErrTransfer},
		{"without NS records", alter(func(x *Transfer) { x.Removed = append(x.Removed, nsRecords...) }), ErrTransfer},
		{"full transfer with removed records", Transfer{Full: true, To: serial + 1, Removed: nsRecords, Added: full.Added}, ErrTransfer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			secondary := NewSecondary(testApex, testSchema())
			if err := secondary.ApplyTransfer(full); err != nil {
				t.Fatal(err)
			}
			if secondary.Serial() != serial {
				t.Errorf("serial %d after the full transfer, want %d", secondary.Serial(), serial)
			}
			checkRejectedTransfer(t, secondary, c.transfer, c.want)
			if err := secondary.ApplyTransfer(next); err != nil || secondary.Serial() != primary.Serial() {
				t.Errorf("the valid transfer after the rejected one failed: %v", err)
			}
		})
	}
	empty := NewSecondary(testApex, testSchema())
	if err := empty.ApplyTransfer(next); !errors.Is(err, ErrGap) {
		t.Errorf("incremental transfer to an empty secondary returned %v, want ErrGap", err)
	}
}

// checkRejectedTransfer checks that a transfer fails and does not change the table.
func checkRejectedTransfer(t *testing.T, secondary *Table, transfer Transfer, want error) {
	t.Helper()
	serial, records := secondary.Serial(), dump(secondary.View())
	if err := secondary.ApplyTransfer(transfer); !errors.Is(err, want) {
		t.Errorf("ApplyTransfer returned %v, want %v", err, want)
	}
	if secondary.Serial() != serial || !slices.Equal(records, dump(secondary.View())) {
		t.Error("the rejected transfer changed the table")
	}
}

func TestRestoreRejectsDamagedSnapshots(t *testing.T) {
	data, err := testTable(t, rr("m.t.", typeMany, "1")).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(testSchema(), data)
	if err != nil {
		t.Fatal(err)
	}
	update := NewUpdate(testApex, nil, []Record{DeleteName("m.t.")})
	if result := restored.Apply(&update, nil); result.Code != NoError || !result.Changed {
		t.Errorf("update of the restored table returned %+v, want NOERROR and a change", result)
	}
	for length := range len(data) {
		if _, err := Restore(testSchema(), data[:length]); err == nil {
			t.Errorf("Restore accepted a snapshot truncated to %d of %d octets", length, len(data))
		}
	}
	withoutSOA := encode(snapshot{Format: snapshotFormat, Apex: testApex, Records: nsRecords})
	otherFormat := encode(snapshot{Format: snapshotFormat + 1, Apex: testApex})
	if _, err := Restore(testSchema(), withoutSOA); !errors.Is(err, ErrTransfer) {
		t.Errorf("Restore without an SOA record returned %v, want ErrTransfer", err)
	}
	if _, err := Restore(testSchema(), otherFormat); !errors.Is(err, ErrMalformed) {
		t.Errorf("Restore of another format returned %v, want ErrMalformed", err)
	}
}

func TestWalkVisitsNameAndDescendants(t *testing.T) {
	table := testTable(t, rr("a.t.", typeOne, "1"), rr("b.a.t.", typeOne, "2"), rr("ab.t.", typeOne, "3"), rr("a.t.", typeMany, "4"))
	visit := func(under Name, recordType Type, limit int) (visited string) {
		table.View().Walk(under, recordType, func(record Record) bool {
			visited += string(record.Data)
			return len(visited) < limit
		})
		return visited
	}
	if got := visit("A.t", typeOne, 9) + "," + visit("a.t.", TypeANY, 9) + "," + visit(testApex, typeOne, 2); got != "12,412,12" {
		t.Errorf("Walk visited records %s, want 12,412,12", got)
	}
	table.View().Lookup("a.t.", typeOne)[0] = Record{}
	if got := visit("a.t.", typeOne, 1); got != "1" {
		t.Errorf("modifying the result of Lookup changed the table: %q", got)
	}
}

// TestConcurrentViews reads views in several goroutines while the table changes. Each
// update sets two records to the same data, which must be equal in every view.
func TestConcurrentViews(t *testing.T) {
	const updates, readers = 300, 4
	table := testTable(t, rr("p.t.", typeOne, "0"), rr("q.t.", typeOne, "0"))
	done := make(chan struct{})
	var group sync.WaitGroup
	for range readers {
		group.Go(func() { readPairs(t, table, done) })
	}
	for i := range updates {
		value := fmt.Sprint(i + 1)
		update := NewUpdate(testApex, nil, []Record{Add(rr("p.t.", typeOne, value)), Add(rr("q.t.", typeOne, value))})
		if result := table.Apply(&update, nil); !result.Changed {
			t.Errorf("update %d was answered with %s and changed nothing", i, result.Code)
		}
	}
	close(done)
	group.Wait()
}

// readPairs checks views until done is closed. It must not call Fatal, since it does not
// run in the test's goroutine.
func readPairs(t *testing.T, table *Table, done <-chan struct{}) {
	t.Helper()
	for last := uint32(0); ; {
		view := table.View()
		p, q := view.Lookup("p.t.", typeOne), view.Lookup("q.t.", typeOne)
		if string(p[0].Data) != string(q[0].Data) || SerialLess(view.Serial(), last) {
			t.Errorf("view at serial %d, previous serial %d: records with data %s and %s, want equal data and no lower serial", view.Serial(), last, p[0].Data, q[0].Data)
		}
		last = view.Serial()
		select {
		case <-done:
			return
		default:
		}
	}
}

// BenchmarkView measures taking a view, whose cost must not depend on the table's size.
func BenchmarkView(b *testing.B) {
	for _, size := range []int{100, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := testTable(b)
			addRecords(b, table, size)
			b.ReportAllocs()
			for b.Loop() {
				_ = table.View()
			}
		})
	}
}

// BenchmarkApply measures one update that changes a record, in tables of several sizes.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := testTable(b)
			addRecords(b, table, size)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				update := NewUpdate(testApex, nil, []Record{Add(rr("n7.t.", typeOne, fmt.Sprint(i)))})
				table.Apply(&update, nil)
			}
		})
	}
}
