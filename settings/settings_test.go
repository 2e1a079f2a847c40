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

// folder is a test's own folder with the files that settings name.
type folder string

const goodKey = "00112233445566778899aabbccddeeff"

func newFolder(t *testing.T) folder {
	t.Helper()
	f := folder(t.TempDir())
	f.write(t, "keys", goodKey+"\n", 0o600)
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

// expand replaces DIR by the folder's path.
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
		t.Errorf("defaults differ: %+v", control)
	}
	gateway, err := load(t, f, RoleGateway, gatewayFile, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	terms := lease.DefaultConfig()
	terms.Duration = 2 * time.Second
	if diff := cmp.Diff(terms, gateway.LeaseConfig()); diff != "" {
		t.Error(diff)
	}
	if gateway.Watch.PollInterval() != 250*time.Millisecond || gateway.Watch.PollTimeout() != DefaultPollTimeout {
		t.Errorf("watch differs: %+v", gateway.Watch)
	}
	if warnings := gateway.Warnings(); len(warnings) != 1 || !strings.Contains(warnings[0], "token_file") {
		t.Errorf("warnings %q", warnings)
	}
	var output bytes.Buffer
	level := new(slog.LevelVar)
	logger := gateway.NewLogger(&output, level)
	logger.Debug("hidden")
	level.Set(gateway.LogLevel())
	logger.Debug("shown")
	if text := output.String(); strings.Contains(text, "hidden") || !strings.Contains(text, `"msg":"shown","node":"gateway-1"`) {
		t.Errorf("log %q", text)
	}
}

// TestNumbersAreRead reads the keys whose values are numbers.
func TestNumbersAreRead(t *testing.T) {
	text := gatewayFile + "link_mbps: 100\nhttp_address: 127.0.0.1:7009\nhttp_bounds: {retry_ratio: 0.1, cold_overshoot: 2}\n"
	gateway, err := load(t, newFolder(t), RoleGateway, text, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	if gateway.LinkMbps != 100 || gateway.HTTPBounds != (HTTPBounds{RetryRatio: 0.1, WarmupOvershoot: 2}) {
		t.Errorf("got %d, %+v", gateway.LinkMbps, gateway.HTTPBounds)
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
	alone := parse(RoleControl, "--name", "c", "--zone", "z", "--region", "r", "--peer-address", "127.0.0.1:1",
		"--operator-address", "127.0.0.1:2", "--data-folder", "DIR/data", "--key-file", "DIR/keys", "--seeds", "127.0.0.1:1",
		"--initial-control", "c=127.0.0.1:1", "--token-file", "DIR/tokens")
	if _, err := LoadFor(RoleControl, "", alone); err != nil {
		t.Errorf("flags alone: %v", err)
	}
	if _, err := LoadFor(RoleControl, "", Overrides{}); err == nil || !strings.HasPrefix(err.Error(), "flags: name: is required\n") {
		t.Errorf("nothing at all: %v", err)
	}
}

// TestEachFlagOverridesItsField sets every flag of a role, over a file that sets
// every field.
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

// replaced returns the text with one part replaced, which it must contain.
func replaced(t *testing.T, text, old, replacement string) string {
	t.Helper()
	if !strings.Contains(text, old) {
		t.Fatalf("the test's file does not contain %q", old)
	}
	return strings.Replace(text, old, replacement, 1)
}

func TestInvalidFiles(t *testing.T) {
	control := func(old, replacement string) string { return replaced(t, controlFile, old, replacement) }
	gateway := func(old, replacement string) string { return replaced(t, gatewayFile, old, replacement) }
	cases := []struct {
		name string
		role Role
		text string
		want string // after the file's path
	}{
		{"empty file", RoleControl, "", "file is empty"},
		{"not YAML", RoleControl, "name: [", "line 1: did not find expected node content"},
		{"two documents", RoleControl, controlFile + "---\nname: b\n", "holds more than one document"},
		{"not a mapping", RoleControl, "- a\n", "must be a mapping of fields (line 1)"},
		{"unknown field", RoleControl, controlFile + "zones: x\n", "zones: unknown field (line 15)"},
		{"unknown nested field", RoleGateway, gateway("length: 2s", "lenght: 2s"), "lease.lenght: unknown field (line 11)"}, //nolint:misspell // a typing mistake is the case
		{"doubled field", RoleControl, controlFile + "zone: b\n", "zone: is given twice (line 15)"},
		{"number for a text", RoleControl, control("zone: zone-a", "zone: 7"), "zone: must be a text: put 7 in quotes (line 3)"},
		{"null for a text", RoleControl, control("zone: zone-a", "zone:"), "zone: must be a text (line 3)"},
		{"text for a list", RoleGateway, gateway(`["127.0.0.1:7101", "127.0.0.2:7101", "127.0.0.3:7101"]`, "127.0.0.1:1"), "seeds: must be a list (line 8)"},
		{
			"list for a mapping", RoleControl, control("initial_control:\n  control-a: 127.0.0.1:7001\n", "initial_control: []\nignored:\n"),
			"initial_control: must be a mapping of names to addresses (line 9)\nFILE: ignored: unknown field (line 10)",
		},
		{"alias", RoleControl, control("name: control-a\nrole: control\nzone: zone-a", "name: &n control-a\nrole: control\nzone: *n"), "zone: aliases are not allowed (line 3)"},
		{"no unit", RoleGateway, gateway("length: 2s", "length: 2"), "lease.length: 2 has no unit: write a duration such as 300ms or 2s (line 11)"},
		{"wrong unit", RoleGateway, gateway("length: 2s", "length: 2d"), `lease.length: "2d" is not a duration such as 300ms or 2s (line 11)`},
		{"negative duration", RoleGateway, gateway("250ms", "-1s"), "watch.interval: must be above zero, not -1s (line 12)"},
		{"missing name", RoleControl, control("name: control-a\n", ""), "name: is required"},
		{"bad name", RoleControl, control("name: control-a", "name: -a b"), `name: "-a b" must be 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit`},
		{"bad role", RoleControl, control("role: control", "role: voter"), `role: is "voter", but this program is for "control"`},
		{"other role", RoleGateway, controlFile, `role: is "control", but this program is for "gateway"`},
		{"no data folder", RoleControl, control("data_folder: DIR/data\n", ""), "data_folder: is required for a control node"},
		{"data folder not there", RoleControl, control("DIR/data", "DIR/gone"), "data_folder: DIR/gone does not exist: make it, or mount its disk"},
		{"data folder a file", RoleControl, control("DIR/data", "DIR/keys"), "data_folder: DIR/keys is not a folder"},
		{"gateway with a data folder", RoleGateway, gatewayFile + "data_folder: DIR/data\n", "data_folder: is for control nodes only: a gateway keeps nothing on disk"},
		{"gateway with initial control", RoleGateway, gatewayFile + "initial_control: {a: 127.0.0.1:1}\n", "initial_control: is for control nodes only"},
		{"control with callers", RoleControl, controlFile + "caller_address: 127.0.0.1:9\n", "caller_address: is for gateways only"},
		{"control with HTTP", RoleControl, controlFile + "http_address: 127.0.0.1:9\n", "http_address: is for gateways only"},
		{"control with bounds", RoleControl, controlFile + "http_bounds: {retry_ratio: 0.1}\n", "http_bounds: are for gateways only"},
		{"bounds without HTTP", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_bounds: {retry_ratio: 0.1}\n"), "http_bounds: are for gateways with an http_address"},
		{"retries above all", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_address: 127.0.0.1:7009\nhttp_bounds: {retry_ratio: 1.5}\n"), "http_bounds.retry_ratio: 1.5 must be from 0 to 1"},
		{"overshoot below 1", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_address: 127.0.0.1:7009\nhttp_bounds: {cold_overshoot: 0.5}\n"), "http_bounds.cold_overshoot: 0.5 must be 1 or more"},
		{"a link in words", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nlink_mbps: wide\n"), "link_mbps: must be a number (line 8)"},
		{"a negative link", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nlink_mbps: -1\n"), "link_mbps: -1 must be 0 or more"},
		{"half a link", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nlink_mbps: 0.5\n"), "link_mbps: 0.5 is not a whole number (line 8)"},
		{"no end of retries", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_bounds: {retry_ratio: .inf}\n"), "http_bounds.retry_ratio: .inf is not a number such as 0.2 (line 8)"},
		{"HTTP on a taken address", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", "caller_address: 127.0.0.1:7003\nhttp_address: 127.0.0.1:7003\n"), "http_address: 127.0.0.1:7003 is also the caller_address"},
		{"gateway without callers", RoleGateway, gateway("caller_address: 127.0.0.1:7003\n", ""), "caller_address: is required"},
		{"overlapping addresses", RoleGateway, gateway("127.0.0.1:7003", "127.0.0.1:7001"), "caller_address: 127.0.0.1:7001 is also the peer_address"},
		{
			"host name", RoleControl, control("operator_address: 127.0.0.1", "operator_address: localhost"),
			`operator_address: "localhost:7002" must be an IP number and a port, such as 10.0.0.7:7400`,
		},
		{"port 0", RoleControl, control("127.0.0.1:7002", "127.0.0.1:0"), `operator_address: "127.0.0.1:0" must name a port other than 0`},
		{"every interface", RoleControl, control("127.0.0.1:7002", "0.0.0.0:7002"), `operator_address: "0.0.0.0:7002" must name one address, since others are told it`},
		{
			"no seed", RoleGateway, gateway(`["127.0.0.1:7101", "127.0.0.2:7101", "127.0.0.3:7101"]`, "[]"),
			"seeds: is required: the peers' addresses of 3 other processes are recommended",
		},
		{"doubled seed", RoleGateway, gateway("127.0.0.3:7101", "127.0.0.1:7101"), "seeds[2]: 127.0.0.1:7101 is also seeds[0]"},
		{"operators' port as a seed", RoleGateway, gateway("127.0.0.3:7101", "127.0.0.1:7002"), "seeds[2]: 127.0.0.1:7002 is this node's operator_address; a seed is a peers' address"},
		{
			"initial control twice", RoleControl, control("127.0.0.2:7001\n  control-c: 127.0.0.3:7001", "127.0.0.2:7001\n  control-c: 127.0.0.2:7001"),
			"initial_control.control-c: 127.0.0.2:7001 is also initial_control.control-b",
		},
		{
			"initial control elsewhere", RoleControl, control("control-a: 127.0.0.1:7001", "control-a: 127.0.0.1:8001"),
			"initial_control.control-a: 127.0.0.1:8001 differs from this node's peer_address 127.0.0.1:7001",
		},
		{
			"bad override", RoleControl, controlFile + "dial_overrides: {'127.0.0.1:1': nowhere}\n",
			`dial_overrides.127.0.0.1:1: "nowhere" must be an IP number and a port, such as 10.0.0.7:7400`,
		},
		{"log level", RoleGateway, gateway("level: debug", "level: loud"), `log.level: "loud" must be debug, info, warn or error`},
		{"log format", RoleGateway, gateway("format: json", "format: xml"), `log.format: "xml" must be text or json`},
		{"lease too short", RoleGateway, gateway("length: 2s", "length: 500ms"), "lease: length 500ms must be at least 2 renewals of 300ms"},
		{"watch too slow", RoleGateway, gateway("250ms", "1m"), "watch.interval: 1m0s is above 2s: a draining replica would be noticed too late"},
		{"no key file", RoleControl, control("key_file: DIR/keys\n", ""), "key_file: is required"},
		{"key file not there", RoleControl, control("DIR/keys", "DIR/gone"), "key_file: DIR/gone: no such file or directory"},
		{"key file a folder", RoleControl, control("DIR/keys", "DIR/data"), "key_file: DIR/data is not a file"},
		{"key file for all", RoleControl, control("DIR/keys", "DIR/open"), "key_file: DIR/open may be used by others (mode 0644): set mode 0600 or 0400"},
		{"key not hexadecimal", RoleControl, control("DIR/keys", "DIR/words"), "key_file: DIR/words line 2 is not hexadecimal"},
		{"key too short", RoleControl, control("DIR/keys", "DIR/short"), "key_file: DIR/short line 1 has 4 bytes, 16 at least"},
		{"key doubled", RoleControl, control("DIR/keys", "DIR/doubled"), "key_file: DIR/doubled line 2 repeats line 1"},
		{"no key", RoleControl, control("DIR/keys", "DIR/empty"), "key_file: DIR/empty holds no key"},
		{"short token", RoleControl, control("DIR/tokens", "DIR/token"), "token_file: DIR/token line 1 has a token of 5 characters, 16 at least"},
		{"token without name", RoleControl, control("DIR/tokens", "DIR/short"), "token_file: DIR/short line 1 must be a name and a token"},
		{
			"two problems", RoleControl, control("name: control-a", "name: control/a") + "caller_address: 127.0.0.1:9\n",
			`name: "control/a" must be 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit` + "\nFILE: caller_address: is for gateways only",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFolder(t)
			f.write(t, "open", goodKey+"\n", 0o644)
			f.write(t, "words", goodKey+"\nnot hex\n", 0o600)
			f.write(t, "short", "01020304\n", 0o600)
			f.write(t, "doubled", goodKey+"\n"+goodKey+"\n", 0o600)
			f.write(t, "empty", "# nothing\n", 0o600)
			f.write(t, "token", "anna 12345\n", 0o600)
			_, err := load(t, f, c.role, c.text, Overrides{})
			if err == nil {
				t.Fatal("accepted")
			}
			var problems Errors
			if !errors.As(err, &problems) {
				t.Errorf("the error is a %T", err)
			}
			want := strings.ReplaceAll("FILE: "+f.expand(c.want), "FILE", f.path("settings.yaml"))
			if diff := cmp.Diff(want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
	if _, err := Load("/nowhere/settings.yaml"); err == nil || err.Error() != "/nowhere/settings.yaml: no such file or directory" {
		t.Errorf("file not there: %v", err)
	}
}

func TestSecrets(t *testing.T) {
	f := newFolder(t)
	f.write(t, "keys", "# newest\n"+strings.Repeat("ab", 32)+"\n\n"+goodKey+"\n", 0o400)
	settings, err := load(t, f, RoleControl, controlFile, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := settings.Keys()
	if err != nil || len(keys) != 2 || len(keys[0]) != 32 || hex.EncodeToString(keys[1]) != goodKey {
		t.Fatalf("keys %x, %v", keys, err)
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
			t.Errorf("%q: %q, %v", header, name, ok)
		}
	}
	if _, ok := (Tokens{}).Authenticate(""); !ok {
		t.Error("without tokens an operator is rejected")
	}
}
