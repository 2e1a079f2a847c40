package registry

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
)

// grow applies count updates that add one record each.
func grow(tb testing.TB, table *Table, count int) {
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
	grow(t, table, MaxJournalUpdates+1)
	if transfer := table.TransferSince(testSerial + 1); transfer.Full || len(transfer.Added) != MaxJournalUpdates+1 {
		t.Errorf("from the oldest kept: full %v, %d added", transfer.Full, len(transfer.Added))
	}
	if transfer := table.TransferSince(testSerial); !transfer.Full {
		t.Error("from before the oldest kept: incremental")
	}
	if transfer := table.TransferSince(table.Serial() + 1); !transfer.Full {
		t.Error("from a serial of the future: incremental")
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
		t.Errorf("journal of %d octets, at most %d", table.journal.bytes, MaxJournalBytes)
	}
	records, size := 0, 0
	for _, entry := range table.journal.entries {
		r, s := transferSize(entry)
		records, size = records+r, size+s
	}
	if records != table.journal.records || size != table.journal.bytes {
		t.Errorf("journal counts %d records and %d octets, holds %d and %d", table.journal.records, table.journal.bytes, records, size)
	}
}

func TestIncrementalTransferHasOnlyChanges(t *testing.T) {
	table := testTable(t)
	grow(t, table, 2000)
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
	grow(t, primary, 1)
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
		{"not newer", Transfer{Full: true, To: serial - 1, Added: full.Added}, ErrNotNewer},
		{"half the circle away", Transfer{Full: true, To: serial + 1<<31, Added: full.Added}, ErrNotNewer},
		{"removes what is absent", alter(func(x *Transfer) { x.Removed = append(x.Removed, rr("z.t.", typeOne, "1")) }), ErrTransfer},
		{"adds what is present", alter(func(x *Transfer) { x.Added = append(x.Added, members[0]) }), ErrTransfer},
		{"name outside", alter(func(x *Transfer) { x.Added = append(x.Added, rr("z.u.", typeOne, "1")) }), ErrTransfer},
		{"name in upper case", alter(func(x *Transfer) { x.Added = append(x.Added, rr("Z.t.", typeOne, "1")) }), ErrTransfer},
		{"malformed name", alter(func(x *Transfer) { x.Added = append(x.Added, rr("", typeOne, "1")) }), ErrTransfer},
		{"unrecognized type", alter(func(x *Transfer) { x.Added = append(x.Added, rr("z.t.", 9999, "1")) }), ErrTransfer},
		{"class of a deletion", alter(func(x *Transfer) { x.Added = append(x.Added, withClass(rr("z.t.", typeOne, "1"), ClassNone)) }), ErrTransfer},
		{"serial not that of the SOA", alter(func(x *Transfer) { x.To++ }), ErrTransfer},
		{"without the new SOA", alter(func(x *Transfer) { x.Added = x.Added[:0] }), ErrTransfer},
		{"two SOA records", alter(func(x *Transfer) { x.Removed = nil }), ErrTransfer},
		{"without members", alter(func(x *Transfer) { x.Removed = append(x.Removed, members...) }), ErrTransfer},
		{"full with removals", Transfer{Full: true, To: serial + 1, Removed: members, Added: full.Added}, ErrTransfer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			secondary := NewSecondary(testApex, testSchema())
			if err := secondary.ApplyTransfer(full); err != nil {
				t.Fatal(err)
			}
			if secondary.Serial() != serial {
				t.Errorf("serial %d after the complete transfer, want %d", secondary.Serial(), serial)
			}
			checkRejectedTransfer(t, secondary, c.transfer, c.want)
			if err := secondary.ApplyTransfer(next); err != nil || secondary.Serial() != primary.Serial() {
				t.Errorf("the right transfer afterwards: %v", err)
			}
		})
	}
	empty := NewSecondary(testApex, testSchema())
	if err := empty.ApplyTransfer(next); !errors.Is(err, ErrGap) {
		t.Errorf("incremental to an empty secondary: %v, want ErrGap", err)
	}
}

// checkRejectedTransfer requires that a transfer fails and changes nothing.
func checkRejectedTransfer(t *testing.T, secondary *Table, transfer Transfer, want error) {
	t.Helper()
	serial, records := secondary.Serial(), dump(secondary.View())
	if err := secondary.ApplyTransfer(transfer); !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
	if secondary.Serial() != serial || !slices.Equal(records, dump(secondary.View())) {
		t.Error("a transfer that fails has changed the table")
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
		t.Errorf("a restored table answers %+v", result)
	}
	for length := range len(data) {
		if _, err := Restore(testSchema(), data[:length]); err == nil {
			t.Errorf("restored from %d of %d octets", length, len(data))
		}
	}
	withoutSOA := encode(snapshot{Format: snapshotFormat, Apex: testApex, Records: members})
	otherFormat := encode(snapshot{Format: snapshotFormat + 1, Apex: testApex})
	if _, err := Restore(testSchema(), withoutSOA); !errors.Is(err, ErrTransfer) {
		t.Errorf("without an SOA record: %v, want ErrTransfer", err)
	}
	if _, err := Restore(testSchema(), otherFormat); !errors.Is(err, ErrMalformed) {
		t.Errorf("another format: %v, want ErrMalformed", err)
	}
}

func TestWalkVisitsNameAndDescendants(t *testing.T) {
	table := testTable(t, rr("a.t.", typeOne, "1"), rr("b.a.t.", typeOne, "2"), rr("ab.t.", typeOne, "3"), rr("a.t.", typeMany, "4"))
	visit := func(under Name, recordType Type, most int) (visited string) {
		table.View().Walk(under, recordType, func(record Record) bool {
			visited += string(record.Data)
			return len(visited) < most
		})
		return visited
	}
	if got := visit("A.t", typeOne, 9) + "," + visit("a.t.", TypeANY, 9) + "," + visit(testApex, typeOne, 2); got != "12,412,12" {
		t.Errorf("visited %s", got)
	}
	table.View().Lookup("a.t.", typeOne)[0] = Record{}
	if got := visit("a.t.", typeOne, 1); got != "1" {
		t.Errorf("changing what Lookup returned has changed the table: %q", got)
	}
}

// TestConcurrentViews reads views in many goroutines while the table changes: the two
// records that each update sets together must be equal in every view.
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
			t.Errorf("update %d: %s", i, result.Code)
		}
	}
	close(done)
	group.Wait()
}

// readPairs takes views until done is closed. It only reports with Errorf, since it
// runs outside of the test's goroutine.
func readPairs(t *testing.T, table *Table, done <-chan struct{}) {
	t.Helper()
	for last := uint32(0); ; {
		view := table.View()
		p, q := view.Lookup("p.t.", typeOne), view.Lookup("q.t.", typeOne)
		if string(p[0].Data) != string(q[0].Data) || SerialLess(view.Serial(), last) {
			t.Errorf("serial %d after %d: %s and %s", view.Serial(), last, p[0].Data, q[0].Data)
		}
		last = view.Serial()
		select {
		case <-done:
			return
		default:
		}
	}
}

// BenchmarkView shows that taking a view costs the same at any size.
func BenchmarkView(b *testing.B) {
	for _, size := range []int{100, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := testTable(b)
			grow(b, table, size)
			b.ReportAllocs()
			for b.Loop() {
				_ = table.View()
			}
		})
	}
}

// BenchmarkApply shows what one changing update costs in tables of several sizes.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := testTable(b)
			grow(b, table, size)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				update := NewUpdate(testApex, nil, []Record{Add(rr("n7.t.", typeOne, fmt.Sprint(i)))})
				table.Apply(&update, nil)
			}
		})
	}
}
