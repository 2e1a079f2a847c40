package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"regexp"
	"slices"
)

// Recommended and maximum lengths of lists.
const (
	// RecommendedSeeds is the recommended number of seeds, one for each of three zones.
	RecommendedSeeds = 3
	maxSeeds         = 16
	maxControlNodes  = 9
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Validate checks the settings and the folder and files that they refer to. The error
// is of type Errors and has every problem.
func (s *Settings) Validate() error {
	v := &validator{settings: s}
	v.checkNames()
	v.checkRole()
	v.checkAddresses()
	v.checkSeeds()
	v.checkInitialControl()
	v.checkDialOverrides()
	v.checkLog()
	v.checkLease()
	v.checkWatch()
	v.checkFiles()
	if len(v.problems) > 0 {
		return v.problems
	}
	return nil
}

// validator collects the problems that one call of Validate finds.
type validator struct {
	settings *Settings
	problems Errors
}

// addProblem records a problem with a field.
func (v *validator) addProblem(field, format string, arguments ...any) {
	v.problems = append(v.problems, v.settings.fieldError(field, fmt.Sprintf(format, arguments...)))
}

func (v *validator) checkNames() {
	v.checkName("name", v.settings.Name)
	v.checkName("zone", v.settings.Zone)
	v.checkName("region", v.settings.Region)
}

func (v *validator) checkName(field, value string) {
	switch {
	case value == "":
		v.addProblem(field, "is required")
	case !namePattern.MatchString(value):
		v.addProblem(field, "%q must be 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit", value)
	}
}

func (v *validator) checkRole() {
	switch v.settings.Role {
	case RoleControl:
		v.checkControlNode()
	case RoleGateway:
		v.checkGateway()
	case "":
		v.addProblem("role", "is required: %q or %q", RoleControl, RoleGateway)
	default:
		v.addProblem("role", "%q must be %q or %q", v.settings.Role, RoleControl, RoleGateway)
	}
}

func (v *validator) checkControlNode() {
	s := v.settings
	v.checkDataFolder()
	if s.CallerAddress != "" {
		v.addProblem("caller_address", "is for gateways only")
	}
	if s.HTTPAddress != "" {
		v.addProblem("http_address", "is for gateways only")
	}
	if s.LinkMbps != 0 {
		v.addProblem("link_mbps", "is for gateways only")
	}
	if s.HTTPBounds != (HTTPBounds{}) {
		v.addProblem("http_bounds", "are for gateways only")
	}
}

func (v *validator) checkGateway() {
	s := v.settings
	if s.DataFolder != "" {
		v.addProblem("data_folder", "is for control nodes only: a gateway stores nothing on disk")
	}
	if len(s.InitialControl) > 0 {
		v.addProblem("initial_control", "is for control nodes only")
	}
	if s.LinkMbps < 0 {
		v.addProblem("link_mbps", "%d must be 0 or more", s.LinkMbps)
	}
	v.checkHTTPBounds()
}

// checkHTTPBounds checks that the bounds are in their valid ranges. Bounds without an HTTP
// address are a problem.
func (v *validator) checkHTTPBounds() {
	bounds := v.settings.HTTPBounds
	if bounds != (HTTPBounds{}) && v.settings.HTTPAddress == "" {
		v.addProblem("http_bounds", "are for gateways with an http_address")
	}
	if bounds.RetryRatio < 0 || bounds.RetryRatio > 1 {
		v.addProblem("http_bounds.retry_ratio", "%v must be from 0 to 1", bounds.RetryRatio)
	}
	if bounds.WarmupOvershoot != 0 && bounds.WarmupOvershoot < 1 {
		v.addProblem("http_bounds.cold_overshoot", "%v must be 1 or more", bounds.WarmupOvershoot)
	}
}

// checkDataFolder checks that the data folder exists. The daemon never creates it: if it
// is missing, the cause is more often a disk that is not mounted than a new node.
func (v *validator) checkDataFolder() {
	folder := v.settings.DataFolder
	if folder == "" {
		v.addProblem("data_folder", "is required for a control node")
		return
	}
	info, err := os.Stat(folder)
	switch {
	case os.IsNotExist(err):
		v.addProblem("data_folder", "%s does not exist: create it, or mount its disk", folder)
	case err != nil:
		v.addProblem("data_folder", "%s: %v", folder, withoutPath(err))
	case !info.IsDir():
		v.addProblem("data_folder", "%s is not a folder", folder)
	}
}

func (v *validator) checkAddresses() {
	s := v.settings
	taken := make(map[netip.AddrPort]string)
	v.checkListenAddress("peer_address", s.PeerAddress, taken)
	v.checkListenAddress("operator_address", s.OperatorAddress, taken)
	if s.Role == RoleGateway {
		v.checkListenAddress("caller_address", s.CallerAddress, taken)
		if s.HTTPAddress != "" {
			v.checkListenAddress("http_address", s.HTTPAddress, taken)
		}
	}
}

// checkListenAddress checks an address at which this node listens, and adds it to taken.
// Other processes connect to this address, so that it must not be a wildcard address. An
// address that is already in taken is a problem.
func (v *validator) checkListenAddress(field, value string, taken map[netip.AddrPort]string) {
	if value == "" {
		v.addProblem(field, "is required")
		return
	}
	address, ok := v.parseAddress(field, value)
	if !ok {
		return
	}
	if other, used := taken[address]; used {
		v.addProblem(field, "%s is also the %s", value, other)
		return
	}
	taken[address] = field
}

// parseAddress parses an address that processes connect to. It returns false if it
// recorded a problem.
func (v *validator) parseAddress(field, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		v.addProblem(field, "%q must be an IP address and a port, such as 10.0.0.7:7400", value)
	case address.Port() == 0:
		v.addProblem(field, "%q must have a port other than 0", value)
	case address.Addr().IsUnspecified():
		v.addProblem(field, "%q must not be a wildcard address: other processes connect to it", value)
	default:
		return address, true
	}
	return netip.AddrPort{}, false
}

func (v *validator) checkSeeds() {
	s := v.settings
	if len(s.Seeds) == 0 {
		v.addProblem("seeds", "is required: the peer addresses of %d other processes are recommended", RecommendedSeeds)
		return
	}
	if len(s.Seeds) > maxSeeds {
		v.addProblem("seeds", "has %d addresses, at most %d are allowed", len(s.Seeds), maxSeeds)
	}
	taken := make(map[netip.AddrPort]string)
	for i, seed := range s.Seeds {
		field := fmt.Sprintf("seeds[%d]", i)
		address, ok := v.parseAddress(field, seed)
		if !ok {
			continue
		}
		if other, used := taken[address]; used {
			v.addProblem(field, "%s is also %s", seed, other)
		}
		taken[address] = field
		if seed == s.OperatorAddress {
			v.addProblem(field, "%s is this node's operator_address; a seed is a peer address", seed)
		}
	}
}

func (v *validator) checkInitialControl() {
	s := v.settings
	if len(s.InitialControl) > maxControlNodes {
		v.addProblem("initial_control", "has %d nodes, at most %d are allowed", len(s.InitialControl), maxControlNodes)
	}
	taken := make(map[netip.AddrPort]string)
	for _, name := range slices.Sorted(maps.Keys(s.InitialControl)) {
		field := "initial_control." + name
		v.checkName(field, name)
		address, ok := v.parseAddress(field, s.InitialControl[name])
		if !ok {
			continue
		}
		if other, used := taken[address]; used {
			v.addProblem(field, "%s is also %s", address, other)
		}
		taken[address] = field
	}
	own, named := s.InitialControl[s.Name]
	if named && own != s.PeerAddress {
		v.addProblem("initial_control."+s.Name, "%s differs from this node's peer_address %s", own, s.PeerAddress)
	}
}

func (v *validator) checkDialOverrides() {
	overrides := v.settings.DialOverrides
	for _, from := range slices.Sorted(maps.Keys(overrides)) {
		v.parseAddress("dial_overrides."+from, from)
		v.parseAddress("dial_overrides."+from, overrides[from])
	}
}

func (v *validator) checkLog() {
	if _, ok := logLevels[v.settings.Log.Level]; !ok {
		v.addProblem("log.level", "%q must be debug, info, warn or error", v.settings.Log.Level)
	}
	switch v.settings.Log.Format {
	case "", logFormatText, logFormatJSON:
	default:
		v.addProblem("log.format", "%q must be %s or %s", v.settings.Log.Format, logFormatText, logFormatJSON)
	}
}

func (v *validator) checkLease() {
	if err := v.settings.LeaseConfig().Validate(); err != nil {
		v.addProblem("lease", "%v", err)
	}
}

func (v *validator) checkWatch() {
	watch := v.settings.Watch
	if watch.PollInterval() > maxPollInterval {
		v.addProblem("watch.interval", "%v is above %v: a draining replica would be noticed too late", watch.PollInterval(), maxPollInterval)
	}
	if watch.PollTimeout() > maxPollTimeout {
		v.addProblem("watch.timeout", "%v is above %v: a lost replica would be noticed too late", watch.PollTimeout(), maxPollTimeout)
	}
}

func (v *validator) checkFiles() {
	if v.settings.KeyFile == "" {
		v.addProblem("key_file", "is required")
	} else if _, err := v.settings.Keys(); err != nil {
		v.problems = append(v.problems, asFieldError(err))
	}
	if _, err := v.settings.Tokens(); err != nil {
		v.problems = append(v.problems, asFieldError(err))
	}
}

// Warnings returns one line for each setting that is valid but not recommended.
func (s *Settings) Warnings() []string {
	var warnings []string
	if len(s.Seeds) < RecommendedSeeds {
		warnings = append(warnings, fmt.Sprintf("%s: seeds: %d given, %d recommended: with fewer, a node may not reach any peer at startup", s.File(), len(s.Seeds), RecommendedSeeds))
	}
	if s.TokenFile == "" {
		warnings = append(warnings, fmt.Sprintf("%s: token_file: not set: the operators' port accepts requests without a token", s.File()))
	}
	return warnings
}
