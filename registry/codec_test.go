package registry

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestUpdateRoundTrip(t *testing.T) {
	update := NewUpdate(testApex, []Record{InUse("a.t.")}, []Record{Add(withTTL(rr("b.t.", typeMany, "1"), 7)), DeleteName("c.t.")})
	update.Requestor = "control-1"
	update.Additional = []Record{rr("elsewhere.", typeMany, "hint")}
	data, err := EncodeUpdate(&update)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeUpdate(data)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(update, decoded); difference != "" {
		t.Errorf("decoded update differs (-want +got):\n%s", difference)
	}
}

func TestEncodeUpdateRejectsInvalidUTF8(t *testing.T) {
	update := NewUpdate(testApex, nil, nil)
	update.Requestor = "\xff"
	if _, err := EncodeUpdate(&update); !errors.Is(err, ErrMalformed) {
		t.Errorf("EncodeUpdate with a requestor that is not UTF-8 returned %v, want ErrMalformed", err)
	}
	update = NewUpdate(testApex, nil, []Record{DeleteName("\xff.t.")})
	if _, err := EncodeUpdate(&update); !errors.Is(err, ErrMalformed) {
		t.Errorf("EncodeUpdate with a name that is not UTF-8 returned %v, want ErrMalformed", err)
	}
}

func TestUpdateLimits(t *testing.T) {
	records := func(count int) []Record { return slices.Repeat([]Record{InUse("a.t.")}, count) }
	cases := []struct {
		name   string
		update Update
		what   string
	}{
		{"tables", Update{Tables: make([]TableEntry, maxTableEntries+1)}, "tables"},
		{"prerequisites", Update{Prerequisites: records(MaxPrerequisites + 1)}, "prerequisites"},
		{"changes", Update{Changes: records(MaxChanges + 1)}, "changes"},
		{"additional", Update{Additional: records(MaxAdditional + 1)}, "additional records"},
		{"requestor", Update{Requestor: strings.Repeat("x", MaxRequestorBytes+1)}, "octets of requestor"},
		{"data", Update{Changes: []Record{rr("a.t.", typeMany, strings.Repeat("x", MaxDataBytes+1))}}, "octets of record data"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkUpdateLimit(t, c.update, c.what)
			if c.name == "tables" {
				return
			}
			c.update.Tables = NewUpdate(testApex, nil, nil).Tables
			var limit *LimitError
			if result := testTable(t).Apply(&c.update, nil); result.Code != FormErr || !errors.As(result.Reason, &limit) {
				t.Errorf("Apply returned %+v, want FORMERR and a LimitError", result)
			}
		})
	}
	var limit *LimitError
	if _, err := DecodeUpdate(make([]byte, MaxUpdateBytes+1)); !errors.As(err, &limit) {
		t.Errorf("DecodeUpdate of an encoding that is too long returned %v, want a LimitError", err)
	}
}

// checkUpdateLimit checks that an update that exceeds a limit by one is neither decoded
// nor encoded.
func checkUpdateLimit(t *testing.T, update Update, what string) {
	t.Helper()
	var limit *LimitError
	if _, err := DecodeUpdate(encode(update)); !errors.As(err, &limit) || limit.What != what || limit.Got != limit.Limit+1 {
		t.Errorf("DecodeUpdate returned %v, want a LimitError", err)
	}
	if _, err := EncodeUpdate(&update); !errors.As(err, &limit) {
		t.Errorf("EncodeUpdate returned %v, want a LimitError", err)
	}
}

func TestDecodeUpdateRejectsMalformed(t *testing.T) {
	valid := encode(NewUpdate(testApex, nil, nil))
	cases := map[string][]byte{
		"empty":                  nil,
		"trailing octet":         append(slices.Clone(valid), 0),
		"truncated":              valid[:len(valid)-1],
		"unknown field":          encode(map[int]any{1: []any{}, 99: 1}),
		"duplicate field":        {0xa2, 0x01, 0x80, 0x01, 0x80},
		"indefinite length":      {0xa1, 0x01, 0x9f, 0xff},
		"tag":                    encode(cbor.Tag{Number: 55799, Content: map[int]any{}}),
		"array instead of a map": {0x80},
		"length beyond the data": {0xa1, 0x02, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0},
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeUpdate(data); !errors.Is(err, ErrMalformed) {
				t.Errorf("DecodeUpdate returned %v, want ErrMalformed", err)
			}
		})
	}
}

func TestParseName(t *testing.T) {
	cases := map[string]Name{
		"Explain.T":   "explain.t.",
		".":           ".",
		`a\.b.t.`:     `a\.b.t.`,
		`a\066c.t.`:   `abc.t.`,
		`\097\032.t.`: `a\032.t.`,
		"é.t.":        `\195\169.t.`,
		`\\.t.`:       `\\.t.`,
	}
	for text, want := range cases {
		if got, err := ParseName(text); err != nil || got != want {
			t.Errorf("ParseName(%q) = %q, %v, want %q", text, got, err, want)
		}
	}
	long := strings.Repeat(strings.Repeat("x", 49)+".", 5)
	if _, err := ParseName(long + "xxx."); err != nil {
		t.Errorf("ParseName of a name of 255 octets returned %v", err)
	}
	for _, text := range []string{"", "..", ".a.", "a..b.", `a\`, `a\1.`, `a\256.`, strings.Repeat("x", 64), long + "xxxx."} {
		if got, err := ParseName(text); !errors.Is(err, ErrName) {
			t.Errorf("ParseName(%q) = %q, %v, want ErrName", text, got, err)
		}
	}
}

// TestNameProperties checks that labels are preserved, that ParseName returns canonical
// names unchanged, and that a name's key is a prefix of exactly the keys of the names at
// and below it.
func TestNameProperties(t *testing.T) {
	octet := rapid.OneOf(rapid.SampledFrom([]byte(`aab.\0`)), rapid.Byte())
	rapid.Check(t, func(t *rapid.T) {
		drawName := func(label string) Name {
			name := testApex
			for _, raw := range rapid.SliceOfN(rapid.SliceOfN(octet, 1, 4), 0, 4).Draw(t, label) {
				name = name.Child(string(raw))
			}
			return name
		}
		one, other := drawName("one"), drawName("other")
		if again, err := ParseName(string(one)); err != nil || again != one {
			t.Fatalf("ParseName(%q) = %q, %v", one, again, err)
		}
		below := slices.Equal(lastLabels(one.Labels(), len(other.Labels())), other.Labels())
		if one.In(other) != below || strings.HasPrefix(one.key(), other.key()) != below {
			t.Fatalf("%q is below %q: %v by its labels, %v by In, keys %q and %q", one, other, below, one.In(other), one.key(), other.key())
		}
		if (one.key() == other.key()) != (one == other) {
			t.Fatalf("%q and %q have keys %q and %q", one, other, one.key(), other.key())
		}
	})
}

// lastLabels returns the last count labels, or nil if there are fewer.
func lastLabels(labels []string, count int) []string {
	if len(labels) < count {
		return nil
	}
	return labels[len(labels)-count:]
}

// FuzzDecodeUpdate decodes arbitrary octets and applies the decoded update to a table.
// Neither may panic, a decoded update must be encodable again without loss, and an update
// that fails must not change the table.
func FuzzDecodeUpdate(f *testing.F) {
	update := NewUpdate(testApex, []Record{InUse(testApex), Absent("x.t.", typeMany)},
		[]Record{Add(rr("x.t.", typeMany, "1")), DeleteName("y.t."), DeleteRecord(nsRecords[0])})
	f.Add(encode(update))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeUpdate(data)
		if err != nil {
			return
		}
		encoded, err := EncodeUpdate(&decoded)
		if err != nil {
			t.Fatalf("encoding the decoded update: %v", err)
		}
		if again, err := DecodeUpdate(encoded); err != nil || string(encode(again)) != string(encoded) {
			t.Fatalf("the update differs after encoding and decoding it again, error %v", err)
		}
		table := testTable(t)
		before := dump(table.View())
		result := table.Apply(&decoded, nil)
		if result.Code != NoError && (result.Changed || !slices.Equal(before, dump(table.View()))) {
			t.Fatalf("an update that was answered with %s changed the table", result.Code)
		}
		if len(table.View().Lookup(testApex, TypeNS)) == 0 || table.Serial() == 0 {
			t.Fatal("the table has no SOA record or no NS record after the update")
		}
	})
}
