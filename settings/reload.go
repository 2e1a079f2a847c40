package settings

import (
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/internal/fielddiff"
)

// Reload says when a changed field takes effect.
type Reload uint8

const (
	// Restart means at the next start of the process.
	Restart Reload = iota + 1
	// Live means while the process runs, when it reads the file again.
	Live
)

// reloads has each field of Settings.
var reloads = map[string]Reload{
	"name":                       Restart,
	"role":                       Restart,
	"zone":                       Restart,
	"region":                     Restart,
	"peer_address":               Restart,
	"caller_address":             Restart,
	"http_address":               Restart,
	"http_bounds.retry_ratio":    Restart,
	"http_bounds.cold_overshoot": Restart,
	"link_mbps":                  Restart,
	"operator_address":           Restart,
	"seeds":                      Live,
	"data_folder":                Restart,
	"initial_control":            Restart,
	"key_file":                   Live,
	"token_file":                 Live,
	"log.level":                  Live,
	"log.format":                 Restart,
	"lease.length":               Restart,
	"lease.margin":               Restart,
	"lease.quorum_age":           Restart,
	"lease.renewal":              Restart,
	"watch.interval":             Restart,
	"watch.timeout":              Restart,
	"dial_overrides":             Restart,
}

// RestartError means that changed settings were refused as a whole, since the fields take
// effect at a restart only.
type RestartError struct {
	Fields []string
}

func (e *RestartError) Error() string {
	return fmt.Sprintf("settings: %s: a change needs a restart", strings.Join(e.Fields, ", "))
}

// CheckReload returns a *RestartError if settings differ from the running ones in fields
// that take effect at a restart only.
func (s *Settings) CheckReload(changed *Settings) error {
	var fields []string
	for _, name := range fielddiff.Names(*s, *changed, "yaml") {
		if reloads[name] != Live {
			fields = append(fields, name)
		}
	}
	if len(fields) > 0 {
		return &RestartError{Fields: fields}
	}
	return nil
}
