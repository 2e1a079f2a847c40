package settings

import (
	"bytes"
	"encoding/hex"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/spf13/pflag"

	"github.com/deckpulley/deckpulley/lease"
)

// folder is a temporary folder of a test with the files that the settings refer to.
type folder string

const validKey = "00112233445566778899aabbccddeeff"

func newFolder(t *testing.T) folder {
	t.Helper()
	f := folder(t.TempDir())
	f.write(t, "keys", validKey+"\n", 0o600)
	f.write(t, "tokens", "# operators\nanna 0123456789abcdef\n", 0o400)
	if err := os.Mkdir(f.path("data"), 0o700); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f folder) path(name string) string { return filepath.Join(string(f), name) }

func (f folder) write(t *testing.T, name, content string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(f.path(name), []byte(content), mode); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(f.path(name), mode); err != nil {
		t.Fatal(err)
	}
}

// expand replaces DIR with the folder's path.
func (f folder) expand(text string) string { return strings.ReplaceAll(text, "DIR", string(f)) }

const controlFile = `name: control-a
role: control
zone: zone-a
region: north
peer_address: 127.0.0.1:7001
operator_address: 127.0.0.1:7002
seeds: ["127.0.0.1:7001", "127.0.0.2:7001", "127.0.0.3:7001"]
data_folder: DIR/data
initial_control:
  control-a: 127.0.0.1:7001
  control-b: 127.0.0.2:7001
  control-c: 127.0.0.3:7001
key_file: DIR/keys
token_file: DIR/tokens
`

const gatewayFile = `name: gateway-1
role: gateway
zone: zone-a
region: north
peer_address: 127.0.0.1:7001
operator_address: 127.0.0.1:7002
caller_address: 127.0.0.1:7003
seeds: ["127.0.0.1:7101", "127.0.0.2:7101", "127.0.0.3:7101"]
key_file: DIR/keys
log: {level: debug, format: json}
lease: {length: 2s}
watch: {interval: 250ms}
`

func load(t *testing.T, f folder, role Role, text string, overrides Overrides) (*Settings, error) {
	t.Helper()
	f.write(t, "settings.yaml", f.expand(text), 0o644)
	return LoadFor(role, f.path("settings.yaml"), overrides)
}

func TestValidFiles(t *testing.T) {
	f := newFolder(t)
	control, err := load(t, f, RoleControl, controlFile, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	if control.LeaseConfig() != lease.DefaultConfig() || control.LogLevel() != slog.LevelInfo || len(control.Warnings()) != 0 {
		t.Errorf("control settings do not have the defaults, or have warnings: %+v", control)
	}
	gateway, err := load(t, f, RoleGateway, gatewayFile, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	wantLease := lease.DefaultConfig()
	wantLease.Duration = 2 * time.Second
	if diff := cmp.Diff(wantLease, gateway.LeaseConfig()); diff != "" {
		t.Error(diff)
	}
	if gateway.Watch.PollInterval() != 250*time.Millisecond || gateway.Watch.PollTimeout() != DefaultPollTimeout {
		t.Errorf("watch is %+v, want an interval of 250 ms and the default timeout", gateway.Watch)
	}
	if warnings := gateway.Warnings(); len(warnings) != 1 || !strings.Contains(warnings[0], "token_file") {
		t.Errorf("warnings are %q, want one about token_file", warnings)
	}
	var output bytes.Buffer
	level := new(slog.LevelVar)
	logger := gateway.NewLogger(&output, level)
	logger.Debug("hidden")
	level.Set(gateway.LogLevel())
	logger.Debug("shown")
	if text := output.String(); strings.Contains(text, "hidden") || !strings.Contains(text, `"msg":"shown","node":"gateway-1"`) {
		t.Errorf("log is %q, want only the message \"shown\" with the node's name", text)
	}
}

// TestNumericFields checks that the fields whose values are numbers are loaded.
func TestNumericFields(t *testing.T) {
	text := gatewayFile + "link_mbps: 100\nhttp_address: 127.0.0.1:7009\nhttp_bounds: {retry_ratio: 0.1, cold_overshoot: 2}\n"
	gateway, err := load(t, newFolder(t), RoleGateway, text, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	if gateway.LinkMbps != 100 || gateway.HTTPBounds != (HTTPBounds{RetryRatio: 0.1, WarmupOvershoot: 2}) {
		t.Errorf("link_mbps is %d, want 100; http_bounds are %+v, want a retry_ratio of 0.1 and a cold_overshoot of 2", gateway.LinkMbps, gateway.HTTPBounds)
	}
}

func TestFlagsOverrideTheFile(t *testing.T) {
	f := newFolder(t)
	parse := func(role Role, arguments ...string) Overrides {
		var overrides Overrides
		flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
		overrides.AddFlags(flags, role)
		for i := range arguments {
			arguments[i] = f.expand(arguments[i])
		}
		if err := flags.Parse(arguments); err != nil {
			t.Fatal(err)
		}
		return overrides
	}
	overrides := parse(RoleGateway, "--name", "gateway-2", "--peer-address", "127.0.0.9:7001", "--seeds", "127.0.0.7:1,127.0.0.8:1", "--log-level", "warn")
	settings, err := load(t, f, RoleGateway, gatewayFile, overrides)
	if err != nil {
		t.Fatal(err)
	}
	if settings.Name != "gateway-2" || settings.PeerAddress != "127.0.0.9:7001" || settings.Zone != "zone-a" || settings.LogLevel() != slog.LevelWarn {
		t.Errorf("flags do not override the file: %+v", settings)
	}
	if diff := cmp.Diff([]string{"127.0.0.7:1", "127.0.0.8:1"}, settings.Seeds); diff != "" {
		t.Error(diff)
	}
	flagsOnly := parse(RoleControl, "--name", "c", "--zone", "z", "--region", "r", "--peer-address", "127.0.0.1:1",
		"--operator-address", "127.0.0.1:2", "--data-folder", "DIR/data", "--key-file", "DIR/keys", "--seeds", "127.0.0.1:1",
		"--initial-control", "c=127.0.0.1:1", "--token-file", "DIR/tokens")
	if _, err := LoadFor(RoleControl, "", flagsOnly); err != nil {
		t.Errorf("settings from flags only are rejected: %v", err)
	}
	if _, err := LoadFor(RoleControl, "", Overrides{}); err == nil || !strings.HasPrefix(err.Error(), "flags: name: is required\n") {
		t.Errorf("neither a file nor flags: got error %v, want one that begins with the missing name", err)
	}
}

// TestEachFlagOverridesItsField sets every flag of a role and applies the flags to
// settings in which every field is set.
func TestEachFlagOverridesItsField(t *testing.T) {
	control := func(settings *Settings) {
		settings.DataFolder = "data-folder"
		settings.InitialControl = map[string]string{"initial": "control"}
	}
	gateway := func(settings *Settings) {
		settings.CallerAddress = "caller-address"
		settings.HTTPAddress = "http-address"
	}
	cases := []struct {
		role Role
		own  func(*Settings) // sets the fields of the role's own flags
	}{
		{RoleControl, control},
		{RoleGateway, gateway},
	}
	for _, c := range cases {
		t.Run(string(c.role), func(t *testing.T) {
			var overrides Overrides
			flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
			overrides.AddFlags(flags, c.role)
			flags.VisitAll(func(flag *pflag.Flag) {
				value := flag.Name
				if flag.Name == "initial-control" {
					value = "initial=control"
				}
				if err := flags.Set(flag.Name, value); err != nil {
					t.Error(err)
				}
			})
			got, want := *goldenSettings()[string(c.role)+".yaml"], *goldenSettings()[string(c.role)+".yaml"]
			overrides.Apply(&got)
			want.Name, want.Zone, want.Region = "name", "zone", "region"
			want.PeerAddress, want.OperatorAddress = "peer-address", "operator-address"
			want.KeyFile, want.TokenFile = "key-file", "token-file"
			want.Log.Level, want.Seeds = "log-level", []string{"seeds"}
			c.own(&want)
			if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Settings{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// replaceOnce returns text with the first occurrence of old replaced. It fails the test
// if text does not contain old.
func replaceOnce(t *testing.T, text, old, replacement string) string {
	t.Helper()
	if !strings.Contains(text, old) {
		t.Fatalf("settings file of the test does not contain %q", old)
	}
	return strings.Replace(text, old, replacement, 1)
}

func TestInvalidFiles(t *testing.T) {
	control := func(old, replacement string) string { return replaceOnce(t, controlFile, old, replacement) }
	gateway := func(old, replacement string) string { return replaceOnce(t, gatewayFile, old, replacement) }
	cases := []struct {
		name string
		role Role
		text string
		want string // error text without the path of the file
	}{
		{"empty file", RoleControl, "", "file is empty"},
		{"not YAML", RoleControl, "name: [", "line 1: did not find expected node content"},
		{"two documents", RoleControl, controlFile + "---\nname: b\n", "contains more than one document"},
		{"not a mapping", RoleControl, "- a\n", "must be a mapping of fields (line 1)"},
		{"unknown field", RoleControl, controlFile + "zones: x\n", "zones: unknown field (line 15)"},
		{"unknown nested field", RoleGateway, gateway("length: 2s", "lenght: 2s"), "lease.lenght: unknown field (line 11)"}, //nolint:misspell // the misspelled key is intended
		{"repeated field", RoleControl, controlFile + "zone: b\n", "zone: is given twice (line 15)"},
		{"number instead of a string", RoleControl, control("zone: zone-a", "zone: 7"), "zone: must be a string: put 7 in quotes (line 3)"},
		{"null instead of a string", RoleControl, control("zone: zone-a", "zone:"), "zone: must be a string (line 3)"},
		{"string instead of a list", RoleGateway, gateway(`["127.0.0.1:7101", "127.0.0.2:7101", "127.0.0.3:7101"]`, "127.0.0.1:1"), "seeds: must be a list (line 8)"},
		{
			"list instead of a mapping", RoleControl, control("initial_control:\n  control-a: 127.0.0.1:7001\n", "initial_control: []\nignored:\n"),
			"initial_control: must be a mapping of names to addresses (line 9)\nFILE: ignored: unknown field (line 10)",
		},
		{"alias", RoleControl, control("name: control-a\nrole: control\nzone: zone-a", "name: &n control-a\nrole: control\nzone: *n"), "zone: aliases are not allowed (line 3)"},
		{"duration without a unit", RoleGateway, gateway("length: 2s", "length: 2"), "lease.length: 2 has no unit: write a duration such as 300ms or 2s (line 11)"},
		{"duration with an unknown unit", RoleGateway, gateway("length: 2s", "length: 2d"), `lease.length: "2d" is not a duration such as 300ms or 2s (line 11)`},
		{"negative duration", RoleGateway, gateway("250ms", "-1s"), "watch.interval: must be above zero, not -1s (line 12)"},
		{"missing name", RoleControl, control("name: control-a\n", ""), "name: is required"},
		{"invalid name", RoleControl, control("name: control-a", "name: -a b"), `name: "-a b" must be 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit`},
		{"unknown role", RoleControl, control("role: control", "role: voter"), `role: is "voter", but this program is for "control"`},
		{"file for another role", RoleGateway, controlFile, `role: is "control", but this program is for "gateway"`},
		{"missing data folder setting", RoleControl, control("data_folder: DIR/data\n", ""), "data_folder: is required for a control node"},
		{"data folder does not exist", RoleControl, control("DIR/data", "DIR/gone"), "data_folder: DIR/gone does not exist: create it, or mount its disk"},
		{"data folder is a file", RoleControl, control("DIR/data", "DIR/keys"), "data_folder: DIR/keys is not a folder"},
		{"gateway with a data folder", RoleGateway, gatewayFile + "data_folder: DIR/data\n", "data_folder: is for control nodes only: a gateway stores nothing on disk"},
		{"gateway with initial control", RoleGateway, gatewayFile + "initial_control: {a: 127.0.0.1:1}\n", "initial_control: is for control nodes only"},
		{"control node with a caller address", RoleControl, controlFile + "caller_address: 127.0.0.1:9\n", "caller_address: is for gateways only"},
		{"control node with an HTTP address", RoleControl, controlFile + "http_address: 127.0.0.1:9\n", "http_address: is for gateways only"},
		{"control node with HTTP bounds", RoleControl, controlFile + "http_bounds: {retry_ratio: 0.1}\n", "http_bounds: are for gateways only"},
		{"HTTP bounds without an HTTP address", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_bounds: {retry_ratio: 0.1}\n"), "http_bounds: are for gateways with an http_address"},
		{"retry ratio above 1", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_address: 127.0.0.1:7009\nhttp_bounds: {retry_ratio: 1.5}\n"), "http_bounds.retry_ratio: 1.5 must be from 0 to 1"},
		{"warm-up overshoot below 1", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_address: 127.0.0.1:7009\nhttp_bounds: {cold_overshoot: 0.5}\n"), "http_bounds.cold_overshoot: 0.5 must be 1 or more"},
		{"link bandwidth is not a number", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nlink_mbps: wide\n"), "link_mbps: must be a number (line 8)"},
		{"negative link bandwidth", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nlink_mbps: -1\n"), "link_mbps: -1 must be 0 or more"},
		{"fractional link bandwidth", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nlink_mbps: 0.5\n"), "link_mbps: 0.5 is not a whole number (line 8)"},
		{"infinite retry ratio", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_bounds: {retry_ratio: .inf}\n"), "http_bounds.retry_ratio: .inf is not a number such as 0.2 (line 8)"},
		{"HTTP address equals caller address", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_address: 127.0.0.1:7003\n"), "http_address: 127.0.0.1:7003 is also the caller_address"},
		{"gateway without a caller address", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", ""), "caller_address: is required"},
		{"caller address equals peer address", RoleGateway, gateway("127.0.0.1:7003", "127.0.0.1:7001"), "caller_address: 127.0.0.1:7001 is also the peer_address"},
		{
			"host name instead of an IP address", RoleControl, control("operator_address: 127.0.0.1", "operator_address: localhost"),
			`operator_address: "localhost:7002" must be an IP address and a port, such as 10.0.0.7:7400`,
		},
		{"port 0", RoleControl, control("127.0.0.1:7002", "127.0.0.1:0"), `operator_address: "127.0.0.1:0" must have a port other than 0`},
		{"wildcard address", RoleControl, control("127.0.0.1:7002", "0.0.0.0:7002"), `operator_address: "0.0.0.0:7002" must not be a wildcard address: other processes connect to it`},
		{
			"no seeds", RoleGateway, gateway(`["127.0.0.1:7101", "127.0.0.2:7101", "127.0.0.3:7101"]`, "[]"),
			"seeds: is required: the peer addresses of 3 other processes are recommended",
		},
		{"repeated seed", RoleGateway, gateway("127.0.0.3:7101", "127.0.0.1:7101"), "seeds[2]: 127.0.0.1:7101 is also seeds[0]"},
		{"own operator address as a seed", RoleGateway, gateway("127.0.0.3:7101", "127.0.0.1:7002"), "seeds[2]: 127.0.0.1:7002 is this node's operator_address; a seed is a peer address"},
		{
			"repeated address in initial control", RoleControl, control("127.0.0.2:7001\n  control-c: 127.0.0.3:7001", "127.0.0.2:7001\n  control-c: 127.0.0.2:7001"),
			"initial_control.control-c: 127.0.0.2:7001 is also initial_control.control-b",
		},
		{
			"initial control differs from peer address", RoleControl, control("control-a: 127.0.0.1:7001", "control-a: 127.0.0.1:8001"),
			"initial_control.control-a: 127.0.0.1:8001 differs from this node's peer_address 127.0.0.1:7001",
		},
		{
			"invalid dial override", RoleControl, controlFile + "dial_overrides: {'127.0.0.1:1': nowhere}\n",
			`dial_overrides.127.0.0.1:1: "nowhere" must be an IP address and a port, such as 10.0.0.7:7400`,
		},
		{"unknown log level", RoleGateway, gateway("level: debug", "level: loud"), `log.level: "loud" must be debug, info, warn or error`},
		{"unknown log format", RoleGateway, gateway("format: json", "format: xml"), `log.format: "xml" must be text or json`},
		{"lease too short", RoleGateway, gateway("length: 2s", "length: 500ms"), "lease: length 500ms must be at least 2 renewals of 300ms"},
		{"watch interval too long", RoleGateway, gateway("250ms", "1m"), "watch.interval: 1m0s is above 2s: a draining replica would be noticed too late"},
		{"missing key file setting", RoleControl, control("key_file: DIR/keys\n", ""), "key_file: is required"},
		{"key file does not exist", RoleControl, control("DIR/keys", "DIR/gone"), "key_file: DIR/gone: no such file or directory"},
		{"key file is a folder", RoleControl, control("DIR/keys", "DIR/data"), "key_file: DIR/data is not a regular file"},
		{"key file readable by other users", RoleControl, control("DIR/keys", "DIR/open"), "key_file: DIR/open is accessible to other users (mode 0644): set mode 0600 or 0400"},
		{"key is not hexadecimal", RoleControl, control("DIR/keys", "DIR/words"), "key_file: DIR/words line 2 is not hexadecimal"},
		{"key too short", RoleControl, control("DIR/keys", "DIR/short"), "key_file: DIR/short line 1 has a key of 4 bytes, at least 16 are required"},
		{"repeated key", RoleControl, control("DIR/keys", "DIR/doubled"), "key_file: DIR/doubled line 2 repeats the key of line 1"},
		{"key file without keys", RoleControl, control("DIR/keys", "DIR/empty"), "key_file: DIR/empty contains no key"},
		{"token too short", RoleControl, control("DIR/tokens", "DIR/token"), "token_file: DIR/token line 1 has a token of 5 bytes, at least 16 are required"},
		{"token without a name", RoleControl, control("DIR/tokens", "DIR/short"), "token_file: DIR/short line 1 must have a name and a token"},
		{
			"two problems", RoleControl, control("name: control-a", "name: control/a") + "caller_address: 127.0.0.1:9\n",
			`name: "control/a" must be 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit` + "\nFILE: caller_address: is for gateways only",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFolder(t)
			f.write(t, "open", validKey+"\n", 0o644)
			f.write(t, "words", validKey+"\nnot hex\n", 0o600)
			f.write(t, "short", "01020304\n", 0o600)
			f.write(t, "doubled", validKey+"\n"+validKey+"\n", 0o600)
			f.write(t, "empty", "# nothing\n", 0o600)
			f.write(t, "token", "anna 12345\n", 0o600)
			_, err := load(t, f, c.role, c.text, Overrides{})
			if err == nil {
				t.Fatal("invalid settings were accepted")
			}
			var problems Errors
			if !errors.As(err, &problems) {
				t.Errorf("error is a %T, want Errors", err)
			}
			want := strings.ReplaceAll("FILE: "+f.expand(c.want), "FILE", f.path("settings.yaml"))
			if diff := cmp.Diff(want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
	if _, err := Load("/nowhere/settings.yaml"); err == nil || err.Error() != "/nowhere/settings.yaml: no such file or directory" {
		t.Errorf("Load of a missing file returned error %v", err)
	}
}

func TestSecrets(t *testing.T) {
	f := newFolder(t)
	f.write(t, "keys", "# newest\n"+strings.Repeat("ab", 32)+"\n\n"+validKey+"\n", 0o400)
	settings, err := load(t, f, RoleControl, controlFile, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := settings.Keys()
	if err != nil || len(keys) != 2 || len(keys[0]) != 32 || hex.EncodeToString(keys[1]) != validKey {
		t.Fatalf("Keys returned %x, %v, want a key of 32 bytes and then validKey", keys, err)
	}
	tokens, err := settings.Tokens()
	if err != nil {
		t.Fatal(err)
	}
	for header, want := range map[string]string{
		"Bearer 0123456789abcdef":  "anna",
		"0123456789abcdef":         "",
		"Bearer 0123456789abcdeff": "",
		"Bearer ":                  "",
		"":                         "",
	} {
		if name, ok := tokens.Authenticate(header); ok != (want != "") || ok && name != want {
			t.Errorf("Authenticate(%q) returned %q, %v", header, name, ok)
		}
	}
	if _, ok := (Tokens{}).Authenticate(""); !ok {
		t.Error("Authenticate rejected an operator although there are no tokens")
	}
}
