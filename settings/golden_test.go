package settings

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/spf13/pflag"
)

// goldenSettings returns the expected settings of the golden files, by file name. Every
// fleet has such files on its machines, so that no key may change its name or meaning.
func goldenSettings() map[string]*Settings {
	seeds := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"}
	return map[string]*Settings{
		"control.yaml": {
			Name: "control-a", Role: RoleControl, Zone: "zone-a", Region: "north",
			PeerAddress: "10.0.0.1:7400", OperatorAddress: "10.0.0.1:7402", Seeds: seeds,
			DataFolder: "/var/lib/deckpulley",
			InitialControl: map[string]string{
				"control-a": "10.0.0.1:7400", "control-b": "10.0.0.2:7400", "control-c": "10.0.0.3:7400",
			},
			KeyFile: "/etc/deckpulley/keys", TokenFile: "/etc/deckpulley/tokens",
			Log: Log{Level: "warn", Format: "json"},
			Lease: Lease{
				Length: Duration(2500 * time.Millisecond), Margin: Duration(150 * time.Millisecond),
				QuorumAge: Duration(time.Second), Renewal: Duration(400 * time.Millisecond),
			},
			DialOverrides: map[string]string{"10.0.0.2:7400": "127.0.0.1:9400"},
		},
		"gateway.yaml": {
			Name: "gateway-1", Role: RoleGateway, Zone: "zone-a", Region: "north",
			PeerAddress: "10.0.0.9:7400", CallerAddress: "10.0.0.9:7401", HTTPAddress: "10.0.0.9:7403",
			HTTPBounds: HTTPBounds{RetryRatio: 0.1, WarmupOvershoot: 2}, LinkMbps: 25_000,
			OperatorAddress: "10.0.0.9:7402", Seeds: seeds,
			KeyFile: "/etc/deckpulley/keys", TokenFile: "/etc/deckpulley/tokens",
			Log: Log{Level: "debug", Format: "text"},
			Lease: Lease{
				Length: Duration(2 * time.Second), Margin: Duration(200 * time.Millisecond),
				QuorumAge: Duration(900 * time.Millisecond), Renewal: Duration(300 * time.Millisecond),
			},
			Watch:         Watch{Interval: Duration(250 * time.Millisecond), Timeout: Duration(750 * time.Millisecond)},
			DialOverrides: map[string]string{"10.0.0.1:7400": "127.0.0.1:9400"},
		},
	}
}

// TestGoldenSettings loads the golden files and compares each field. Together, the files
// must set every key.
func TestGoldenSettings(t *testing.T) {
	set := map[string]bool{}
	for name, want := range goldenSettings() {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", "golden", name)
			got, err := Load(path)
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Settings{})); difference != "" {
				t.Errorf("settings differ (-want +got):\n%s", difference)
			}
			if got.File() != path {
				t.Errorf("File returned %q, want %q", got.File(), path)
			}
			collectSetKeys(reflect.ValueOf(*got), "", set)
		})
	}
	for _, key := range goldenKeys {
		if !set[key] {
			t.Errorf("no golden file sets the key %s", key)
		}
		delete(set, key)
	}
	for key := range set {
		t.Errorf("a golden file sets the key %s, which goldenKeys does not list", key)
	}
}

// goldenKeys lists all keys of a settings file.
var goldenKeys = strings.Fields(`
	name role zone region peer_address caller_address http_address link_mbps operator_address seeds
	http_bounds.retry_ratio http_bounds.cold_overshoot
	data_folder initial_control key_file token_file
	log.level log.format
	lease.length lease.margin lease.quorum_age lease.renewal
	watch.interval watch.timeout
	dial_overrides
`)

// TestGoldenKeys checks that goldenKeys are exactly the keys that a settings file may
// have.
func TestGoldenKeys(t *testing.T) {
	got := fileKeys(reflect.TypeFor[Settings](), "")
	if difference := cmp.Diff(goldenKeys, got, cmpopts.SortSlices(strings.Compare)); difference != "" {
		t.Errorf("keys differ (-want +got):\n%s", difference)
	}
}

// fileKeys returns the dotted keys of a struct's fields.
func fileKeys(structure reflect.Type, path string) []string {
	var keys []string
	for name, index := range structFields(structure) {
		key := joinPath(path, name)
		if field := structure.Field(index).Type; field.Kind() == reflect.Struct {
			keys = append(keys, fileKeys(field, key)...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// collectSetKeys adds the dotted keys of the nonzero fields of value to set.
func collectSetKeys(value reflect.Value, path string, set map[string]bool) {
	for name, index := range structFields(value.Type()) {
		field, key := value.Field(index), joinPath(path, name)
		switch {
		case field.Kind() == reflect.Struct:
			collectSetKeys(field, key, set)
		case !field.IsZero():
			set[key] = true
		}
	}
}

// TestGoldenFlags checks that each role has exactly these flags.
func TestGoldenFlags(t *testing.T) {
	const shared = "key-file log-level name operator-address peer-address region seeds token-file zone"
	cases := []struct {
		role Role
		want string
	}{
		{RoleControl, shared + " data-folder initial-control"},
		{RoleGateway, shared + " caller-address http-address"},
	}
	for _, c := range cases {
		t.Run(string(c.role), func(t *testing.T) {
			var overrides Overrides
			flags := pflag.NewFlagSet("daemon", pflag.ContinueOnError)
			overrides.AddFlags(flags, c.role)
			var got []string
			flags.VisitAll(func(flag *pflag.Flag) { got = append(got, flag.Name) })
			if difference := cmp.Diff(strings.Fields(c.want), got, cmpopts.SortSlices(strings.Compare)); difference != "" {
				t.Errorf("flags differ (-want +got):\n%s", difference)
			}
		})
	}
}
