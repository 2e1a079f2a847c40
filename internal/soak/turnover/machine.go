package turnover

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/process"
	"github.com/deckpulley/deckpulley/internal/soak"
	"github.com/deckpulley/deckpulley/platform"
)

// Roles of processes, which are the program's commands.
const (
	roleControl = "control"
	roleGateway = "gateway"
)

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 15 * time.Second

// unit is one process of a machine.
type unit struct {
	name     string
	role     string
	program  string
	folder   string
	settings platform.Settings
	process  *process.Process
}

// settingsFile returns the path of the settings.
func (u *unit) settingsFile() string { return filepath.Join(u.folder, "settings.json") }

// start writes the settings and starts the process.
func (u *unit) start() error {
	if err := os.MkdirAll(u.settings.DataDir, 0o700); err != nil {
		return err
	}
	if err := soak.ReplaceSettings(u.settingsFile(), &u.settings); err != nil {
		return err
	}
	started, err := process.Start(process.Command{
		Name: u.name, Path: u.program, Arguments: []string{u.role, "--log-level", "debug"},
		Environment: []string{platform.SettingsVariable + "=" + u.settingsFile()},
		LogPath:     filepath.Join(u.folder, "log.txt"),
	})
	u.process = started
	return err
}

// changeSeeds lets the settings name other seeds, in the given way.
func (u *unit) changeSeeds(seeds []string, change SeedChange) error {
	u.settings.Seeds = seeds
	u.settings.Bootstrap = false
	if change == SeedsBesideFields {
		u.settings.Limits.LinkMbps++
		u.settings.Bounds.TTLMaxS++
	}
	if err := soak.ReplaceSettings(u.settingsFile(), &u.settings); err != nil || change == SeedsInFile {
		return err
	}
	return u.process.HangUp()
}

// machine is one machine of the site, with an address of its own.
type machine struct {
	name  string
	ip    string
	zone  string
	units []*unit

	mutex sync.Mutex
	// lost is true once the machine is gone.
	lost bool
	// cutUntil is when the machine's last cut ended; zero if it was never cut off.
	cutUntil time.Time
	started  time.Time
}

// control returns the control process; nil if the machine has none.
func (m *machine) control() *unit { return m.unitOf(roleControl) }

func (m *machine) gateway() *unit { return m.unitOf(roleGateway) }

func (m *machine) unitOf(role string) *unit {
	for _, u := range m.units {
		if u.role == role {
			return u
		}
	}
	return nil
}

// start starts all processes of the machine.
func (m *machine) start() error {
	m.mutex.Lock()
	m.started = time.Now()
	m.mutex.Unlock()
	for _, u := range m.units {
		if err := u.start(); err != nil {
			return err
		}
	}
	return nil
}

// kill ends all processes for good, as a loss of the machine does.
func (m *machine) kill() error {
	m.mutex.Lock()
	m.lost = true
	m.mutex.Unlock()
	for _, u := range m.units {
		if err := u.process.Kill(); err != nil {
			return err
		}
	}
	return nil
}

// inContact reports whether the machine has run and had all its paths for contactTime.
func (m *machine) inContact(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.lost && now.Sub(m.started) > contactTime && now.Sub(m.cutUntil) > contactTime
}

// each calls a function with each process of the machine.
func (m *machine) each(call func(*process.Process) error) error {
	for _, u := range m.units {
		if err := call(u.process); err != nil {
			return err
		}
	}
	return nil
}

// isLost reports whether the machine is gone.
func (m *machine) isLost() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lost
}

// setCutUntil records a cut that ends at a time.
func (m *machine) setCutUntil(end time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.cutUntil = end
}

// stop ends the processes of a machine that is not lost.
func (m *machine) stop() error {
	if m.isLost() {
		return nil
	}
	for _, u := range m.units {
		if u.process == nil {
			continue
		}
		if _, err := u.process.Stop(stopTimeout); err != nil {
			return fmt.Errorf("ending %s: %w", u.name, err)
		}
	}
	return nil
}
