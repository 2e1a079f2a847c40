package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"regexp"
	"slices"
)

// Bounds of lists.
const (
	// RecommendedSeeds is how many seeds a fleet of three zones should name.
	RecommendedSeeds = 3
	maxSeeds         = 16
	maxControlNodes  = 9
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Validate checks the settings and the files that they name. The error is of type
// Errors and has every problem.
func (s *Settings) Validate() error {
	v := &validator{settings: s}
	v.names()
	v.role()
	v.addresses()
	v.seeds()
	v.initialControl()
	v.dialOverrides()
	v.log()
	v.lease()
	v.watch()
	v.files()
	if len(v.problems) > 0 {
		return v.problems
	}
	return nil
}

// validator is one run of Validate.
type validator struct {
	settings *Settings
	problems Errors
}

// fail adds a problem with a field.
func (v *validator) fail(field, format string, arguments ...any) {
	v.problems = append(v.problems, v.settings.fieldError(field, fmt.Sprintf(format, arguments...)))
}

func (v *validator) names() {
	v.name("name", v.settings.Name)
	v.name("zone", v.settings.Zone)
	v.name("region", v.settings.Region)
}

func (v *validator) name(field, value string) {
	switch {
	case value == "":
		v.fail(field, "is required")
	case !namePattern.MatchString(value):
		v.fail(field, "%q must be 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit", value)
	}
}

func (v *validator) role() {
	switch v.settings.Role {
	case RoleControl:
		v.controlNode()
	case RoleGateway:
		v.gateway()
	case "":
		v.fail("role", "is required: %q or %q", RoleControl, RoleGateway)
	default:
		v.fail("role", "%q must be %q or %q", v.settings.Role, RoleControl, RoleGateway)
	}
}

func (v *validator) controlNode() {
	s := v.settings
	v.dataFolder()
	if s.CallerAddress != "" {
		v.fail("caller_address", "is for gateways only")
	}
	if s.HTTPAddress != "" {
		v.fail("http_address", "is for gateways only")
	}
	if s.LinkMbps != 0 {
		v.fail("link_mbps", "is for gateways only")
	}
	if s.HTTPBounds != (HTTPBounds{}) {
		v.fail("http_bounds", "are for gateways only")
	}
}

func (v *validator) gateway() {
	s := v.settings
	if s.DataFolder != "" {
		v.fail("data_folder", "is for control nodes only: a gateway keeps nothing on disk")
	}
	if len(s.InitialControl) > 0 {
		v.fail("initial_control", "is for control nodes only")
	}
	if s.LinkMbps < 0 {
		v.fail("link_mbps", "%d must be 0 or more", s.LinkMbps)
	}
	v.httpBounds()
}

// httpBounds checks that the bounds leave something to send.
func (v *validator) httpBounds() {
	bounds := v.settings.HTTPBounds
	if bounds != (HTTPBounds{}) && v.settings.HTTPAddress == "" {
		v.fail("http_bounds", "are for gateways with an http_address")
	}
	if bounds.RetryRatio < 0 || bounds.RetryRatio > 1 {
		v.fail("http_bounds.retry_ratio", "%v must be from 0 to 1", bounds.RetryRatio)
	}
	if bounds.WarmupOvershoot != 0 && bounds.WarmupOvershoot < 1 {
		v.fail("http_bounds.cold_overshoot", "%v must be 1 or more", bounds.WarmupOvershoot)
	}
}

// dataFolder requires an existing folder. It is never created: a missing one is more
// often a disk that is not mounted than a new node.
func (v *validator) dataFolder() {
	folder := v.settings.DataFolder
	if folder == "" {
		v.fail("data_folder", "is required for a control node")
		return
	}
	info, err := os.Stat(folder)
	switch {
	case os.IsNotExist(err):
		v.fail("data_folder", "%s does not exist: make it, or mount its disk", folder)
	case err != nil:
		v.fail("data_folder", "%s: %v", folder, withoutPath(err))
	case !info.IsDir():
		v.fail("data_folder", "%s is not a folder", folder)
	}
}

func (v *validator) addresses() {
	s := v.settings
	taken := make(map[netip.AddrPort]string)
	v.ownAddress("peer_address", s.PeerAddress, taken)
	v.ownAddress("operator_address", s.OperatorAddress, taken)
	if s.Role == RoleGateway {
		v.ownAddress("caller_address", s.CallerAddress, taken)
		if s.HTTPAddress != "" {
			v.ownAddress("http_address", s.HTTPAddress, taken)
		}
	}
}

// ownAddress checks one listening address. It is advertised to other processes, so
// that it must name one interface.
func (v *validator) ownAddress(field, value string, taken map[netip.AddrPort]string) {
	if value == "" {
		v.fail(field, "is required")
		return
	}
	address, ok := v.address(field, value)
	if !ok {
		return
	}
	if other, used := taken[address]; used {
		v.fail(field, "%s is also the %s", value, other)
		return
	}
	taken[address] = field
}

// address parses an address that other processes connect to. It is false after a
// problem.
func (v *validator) address(field, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		v.fail(field, "%q must be an IP number and a port, such as 10.0.0.7:7400", value)
	case address.Port() == 0:
		v.fail(field, "%q must name a port other than 0", value)
	case address.Addr().IsUnspecified():
		v.fail(field, "%q must name one address, since others are told it", value)
	default:
		return address, true
	}
	return netip.AddrPort{}, false
}

func (v *validator) seeds() {
	s := v.settings
	if len(s.Seeds) == 0 {
		v.fail("seeds", "is required: the peers' addresses of %d other processes are recommended", RecommendedSeeds)
		return
	}
	if len(s.Seeds) > maxSeeds {
		v.fail("seeds", "names %d addresses, %d at the most", len(s.Seeds), maxSeeds)
	}
	taken := make(map[netip.AddrPort]string)
	for i, seed := range s.Seeds {
		field := fmt.Sprintf("seeds[%d]", i)
		address, ok := v.address(field, seed)
		if !ok {
			continue
		}
		if other, used := taken[address]; used {
			v.fail(field, "%s is also %s", seed, other)
		}
		taken[address] = field
		if seed == s.OperatorAddress {
			v.fail(field, "%s is this node's operator_address; a seed is a peers' address", seed)
		}
	}
}

func (v *validator) initialControl() {
	s := v.settings
	if len(s.InitialControl) > maxControlNodes {
		v.fail("initial_control", "names %d nodes, %d at the most", len(s.InitialControl), maxControlNodes)
	}
	taken := make(map[netip.AddrPort]string)
	for _, name := range slices.Sorted(maps.Keys(s.InitialControl)) {
		field := "initial_control." + name
		v.name(field, name)
		address, ok := v.address(field, s.InitialControl[name])
		if !ok {
			continue
		}
		if other, used := taken[address]; used {
			v.fail(field, "%s is also %s", address, other)
		}
		taken[address] = field
	}
	own, named := s.InitialControl[s.Name]
	if named && own != s.PeerAddress {
		v.fail("initial_control."+s.Name, "%s differs from this node's peer_address %s", own, s.PeerAddress)
	}
}

func (v *validator) dialOverrides() {
	overrides := v.settings.DialOverrides
	for _, from := range slices.Sorted(maps.Keys(overrides)) {
		v.address("dial_overrides."+from, from)
		v.address("dial_overrides."+from, overrides[from])
	}
}

func (v *validator) log() {
	if _, ok := logLevels[v.settings.Log.Level]; !ok {
		v.fail("log.level", "%q must be debug, info, warn or error", v.settings.Log.Level)
	}
	switch v.settings.Log.Format {
	case "", logFormatText, logFormatJSON:
	default:
		v.fail("log.format", "%q must be %s or %s", v.settings.Log.Format, logFormatText, logFormatJSON)
	}
}

func (v *validator) lease() {
	if err := v.settings.LeaseConfig().Validate(); err != nil {
		v.fail("lease", "%v", err)
	}
}

func (v *validator) watch() {
	watch := v.settings.Watch
	if watch.PollInterval() > maxPollInterval {
		v.fail("watch.interval", "%v is above %v: a draining replica would be noticed too late", watch.PollInterval(), maxPollInterval)
	}
	if watch.PollTimeout() > maxPollTimeout {
		v.fail("watch.timeout", "%v is above %v: a lost replica would be noticed too late", watch.PollTimeout(), maxPollTimeout)
	}
}

func (v *validator) files() {
	if v.settings.KeyFile == "" {
		v.fail("key_file", "is required")
	} else if _, err := v.settings.Keys(); err != nil {
		v.problems = append(v.problems, asFieldError(err))
	}
	if _, err := v.settings.Tokens(); err != nil {
		v.problems = append(v.problems, asFieldError(err))
	}
}

// Warnings returns what is valid but not recommended, one line each.
func (s *Settings) Warnings() []string {
	var warnings []string
	if len(s.Seeds) < RecommendedSeeds {
		warnings = append(warnings, fmt.Sprintf("%s: seeds: %d given, %d recommended: with fewer a node may find no peer at startup", s.File(), len(s.Seeds), RecommendedSeeds))
	}
	if s.TokenFile == "" {
		warnings = append(warnings, fmt.Sprintf("%s: token_file: not set: the operators' port accepts requests without a token", s.File()))
	}
	return warnings
}
