package settings

import "github.com/spf13/pflag"

// Overrides has the values of the daemons' flags. An empty value does not override the
// file.
type Overrides struct {
	Name            string
	Zone            string
	Region          string
	PeerAddress     string
	CallerAddress   string
	HTTPAddress     string
	OperatorAddress string
	DataFolder      string
	KeyFile         string
	TokenFile       string
	LogLevel        string
	Seeds           []string
	InitialControl  map[string]string
}

// stringFlag is a flag that replaces a string in the settings.
type stringFlag struct {
	name, usage string
	value       *string // field of Overrides
	target      *string // field of Settings
	role        Role    // the only role that has the flag; empty if every role has it
}

// stringFlags returns the flags whose values are strings. They point to the fields of the
// overrides and of the settings.
func (o *Overrides) stringFlags(settings *Settings) []stringFlag {
	return []stringFlag{
		{name: "name", usage: "node name, unique in the fleet", value: &o.Name, target: &settings.Name},
		{name: "zone", usage: "availability zone", value: &o.Zone, target: &settings.Zone},
		{name: "region", usage: "region of the zone", value: &o.Region, target: &settings.Region},
		{name: "peer-address", usage: "IP:port for the fleet's own processes", value: &o.PeerAddress, target: &settings.PeerAddress},
		{name: "operator-address", usage: "IP:port for operators, the platform and metrics", value: &o.OperatorAddress, target: &settings.OperatorAddress},
		{name: "key-file", usage: "file of the fleet's keys, one hexadecimal key a line, newest first", value: &o.KeyFile, target: &settings.KeyFile},
		{name: "token-file", usage: "file of the operators' tokens, one \"name token\" a line", value: &o.TokenFile, target: &settings.TokenFile},
		{name: "log-level", usage: "debug, info, warn or error", value: &o.LogLevel, target: &settings.Log.Level},
		{name: "data-folder", usage: "existing folder on this node's own disk", value: &o.DataFolder, target: &settings.DataFolder, role: RoleControl},
		{name: "caller-address", usage: "IP:port for callers", value: &o.CallerAddress, target: &settings.CallerAddress, role: RoleGateway},
		{name: "http-address", usage: "IP:port for requests that are routed by host and path", value: &o.HTTPAddress, target: &settings.HTTPAddress, role: RoleGateway},
	}
}

// AddFlags registers the flags of the daemon with this role.
func (o *Overrides) AddFlags(flags *pflag.FlagSet, role Role) {
	for _, flag := range o.stringFlags(&Settings{}) {
		if flag.role == "" || flag.role == role {
			flags.StringVar(flag.value, flag.name, "", flag.usage)
		}
	}
	flags.StringSliceVar(&o.Seeds, "seeds", nil, "peers' addresses of three other processes")
	if role == RoleControl {
		flags.StringToStringVar(&o.InitialControl, "initial-control", nil, "name=IP:port of each control node of a new group")
	}
}

// Apply replaces values of the settings with those of the flags that are set.
func (o Overrides) Apply(settings *Settings) {
	for _, flag := range o.stringFlags(settings) {
		if *flag.value != "" {
			*flag.target = *flag.value
		}
	}
	if len(o.Seeds) > 0 {
		settings.Seeds = o.Seeds
	}
	if len(o.InitialControl) > 0 {
		settings.InitialControl = o.InitialControl
	}
}
