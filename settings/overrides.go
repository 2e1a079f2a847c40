package settings

import "github.com/spf13/pflag"

// Overrides are the daemons' flags; what is empty leaves the file's value.
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

// AddFlags registers the flags of a daemon of the role.
func (o *Overrides) AddFlags(flags *pflag.FlagSet, role Role) {
	flags.StringVar(&o.Name, "name", "", "node name, unique in the fleet")
	flags.StringVar(&o.Zone, "zone", "", "availability zone")
	flags.StringVar(&o.Region, "region", "", "region of the zone")
	flags.StringVar(&o.PeerAddress, "peer-address", "", "IP:port for the fleet's own processes")
	flags.StringVar(&o.OperatorAddress, "operator-address", "", "IP:port for operators, the platform and metrics")
	flags.StringVar(&o.KeyFile, "key-file", "", "file of the fleet's keys, one hexadecimal key a line, newest first")
	flags.StringVar(&o.TokenFile, "token-file", "", "file of the operators' tokens, one \"name token\" a line")
	flags.StringVar(&o.LogLevel, "log-level", "", "debug, info, warn or error")
	flags.StringSliceVar(&o.Seeds, "seeds", nil, "peers' addresses of three other processes")
	switch role {
	case RoleControl:
		flags.StringVar(&o.DataFolder, "data-folder", "", "existing folder on this node's own disk")
		flags.StringToStringVar(&o.InitialControl, "initial-control", nil, "name=IP:port of each control node of a new group")
	case RoleGateway:
		flags.StringVar(&o.CallerAddress, "caller-address", "", "IP:port for callers")
		flags.StringVar(&o.HTTPAddress, "http-address", "", "IP:port for requests that are routed by host and path")
	}
}

// Apply puts the set values over those of the file.
func (o Overrides) Apply(settings *Settings) {
	replace(&settings.Name, o.Name)
	replace(&settings.Zone, o.Zone)
	replace(&settings.Region, o.Region)
	replace(&settings.PeerAddress, o.PeerAddress)
	replace(&settings.CallerAddress, o.CallerAddress)
	replace(&settings.HTTPAddress, o.HTTPAddress)
	replace(&settings.OperatorAddress, o.OperatorAddress)
	replace(&settings.DataFolder, o.DataFolder)
	replace(&settings.KeyFile, o.KeyFile)
	replace(&settings.TokenFile, o.TokenFile)
	replace(&settings.Log.Level, o.LogLevel)
	if len(o.Seeds) > 0 {
		settings.Seeds = o.Seeds
	}
	if len(o.InitialControl) > 0 {
		settings.InitialControl = o.InitialControl
	}
}

func replace(value *string, override string) {
	if override != "" {
		*value = override
	}
}
