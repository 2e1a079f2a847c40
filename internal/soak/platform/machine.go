package platform

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/process"
	"github.com/deckpulley/deckpulley/internal/soak"
	"github.com/deckpulley/deckpulley/platform"
)

const (
	// gracePeriodSeconds is the time that a process has to end after SIGTERM.
	gracePeriodSeconds = 3
	// exitMargin is added to it for the machine that bears all processes.
	exitMargin = 3 * time.Second
	// restartDelay is the time after which an ended process is started again.
	restartDelay = 300 * time.Millisecond
	// memoryLimitMB is the memory of a process in its settings, and of a build with the race
	// detector raceMemoryFactor times as much.
	memoryLimitMB    = 184
	raceMemoryFactor = 8
	// startTime is how long a process may need until it handles signals: a SIGTERM that comes
	// earlier ends it at once, when it has not taken a request yet.
	startTime = time.Second
	// earlyHangUp is how soon after the start of a process a SIGHUP may end it, see
	// KNOWN-RED.txt. The program ignores the signal as soon as its loader has run.
	earlyHangUp = 50 * time.Millisecond
	// sampleInterval is the time between two looks at the memory of a process.
	sampleInterval = 50 * time.Millisecond
)

// unit is one process of a machine, which is started again when a disturbance has ended it.
type unit struct {
	name     string
	role     soak.Role
	settings platform.Settings
	folder   string
	program  string
	record   *record
	limit    int64 // of the resident memory, in bytes

	// mutex is held while a disturbance ends and starts the process.
	mutex   sync.Mutex
	process *process.Process
	started time.Time
	// expected is true while the process is meant to end.
	expected bool
	closed   bool
	// published has the addresses for those who don't hold the mutex.
	published atomic.Pointer[addresses]
}

// addresses are those at which a process serves others than its peers.
type addresses struct{ front, control, directory string }

// listens returns the present addresses of the process.
func (u *unit) listens() addresses { return *u.published.Load() }

// publish publishes the addresses in the settings.
func (u *unit) publish() {
	listen := &u.settings.ListenAddrs
	u.published.Store(&addresses{front: listen.Front, control: listen.Control, directory: listen.Directory})
}

// start writes the settings file and starts the process. The caller holds the mutex.
func (u *unit) start() error {
	if err := u.writeSettings(); err != nil {
		return err
	}
	started, err := process.Start(process.Command{
		Name: u.name, Path: u.program, Arguments: []string{string(u.role)},
		Environment: []string{platform.SettingsVariable + "=" + u.settingsFile()},
		LogPath:     filepath.Join(u.folder, "log.txt"),
	})
	if err != nil {
		return err
	}
	u.process, u.started, u.expected = started, time.Now(), false
	go u.watch(started)
	return nil
}

func (u *unit) settingsFile() string { return filepath.Join(u.folder, "settings.json") }

func (u *unit) writeSettings() error {
	text, err := json.Marshal(&u.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(u.settingsFile(), text, 0o600)
}

// watch reports a process that ends by itself or takes more memory than its limit, until
// it ends.
func (u *unit) watch(watched *process.Process) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	over := false
	for {
		select {
		case <-watched.Exited():
			u.checkExit(watched)
			return
		case <-ticker.C:
		}
		usage, err := watched.ReadUsage()
		if err != nil {
			continue // it has just ended
		}
		u.record.observeMemory(usage.Resident)
		if usage.Resident > u.limit && !over {
			over = true
			u.record.report(RuleMemory, "%s has %d MB of resident memory, its limit is %d", u.name, usage.Resident>>20, u.limit>>20)
		}
	}
}

// checkExit reports a process that ended without being told to. One that a SIGHUP ended as it
// was starting is a known failure; it is started again.
func (u *unit) checkExit(ended *process.Process) {
	at := time.Now()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.expected || u.process != ended {
		return
	}
	if !ended.EndedBy(syscall.SIGHUP) || at.Sub(u.started) > earlyHangUp {
		u.record.report(RuleEnds, "%s ended by itself: %v; see %s", u.name, ended.ExitError(), u.folder)
		return
	}
	u.record.reportKnown(RuleEnds, "%s ended by a SIGHUP within %v of its start", u.name, earlyHangUp)
	if err := u.start(); err != nil {
		u.record.report(RuleEnds, "%s: %v", u.name, err)
	}
}

// terminate sends SIGTERM, waits for the end, and starts the process again.
func (u *unit) terminate() error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.closed {
		return nil
	}
	u.stop()
	time.Sleep(restartDelay)
	u.record.countRestart()
	return u.start()
}

// stop sends SIGTERM and reports a process that doesn't end in time, or not with status 0.
// The caller holds the mutex.
func (u *unit) stop() {
	frozen := u.process.Frozen()
	ended := !u.process.Running()
	starting := time.Since(u.started) < startTime
	u.expected = true
	graceful, err := u.process.Stop(gracePeriodSeconds*time.Second + exitMargin)
	switch {
	case ended || frozen:
	case err != nil:
		u.record.report(RuleEnds, "%s: %v", u.name, err)
	case !graceful:
		u.record.report(RuleEnds, "%s did not end within %d s after SIGTERM", u.name, gracePeriodSeconds)
	case u.process.ExitError() != nil && !starting:
		u.record.report(RuleEnds, "%s ended with %v after SIGTERM; see %s", u.name, u.process.ExitError(), u.folder)
	}
}

// kill sends SIGKILL and starts the process again.
func (u *unit) kill() error { return u.killAndStart(func() error { return nil }) }

// wipe sends SIGKILL, deletes the data folder and starts the process again.
func (u *unit) wipe() error {
	return u.killAndStart(func() error {
		u.settings.Bootstrap = false
		if err := os.RemoveAll(u.settings.DataDir); err != nil {
			return err
		}
		return os.MkdirAll(u.settings.DataDir, 0o700)
	})
}

// replace sends SIGKILL and starts a process with an empty data folder at other addresses in
// its place.
func (u *unit) replace(moved platform.Settings) error {
	return u.killAndStart(func() error {
		moved.DataDir = u.settings.DataDir + "-" + moved.IP
		moved.Seeds, moved.Bootstrap = u.settings.Seeds, false
		u.settings = moved
		u.publish()
		return os.MkdirAll(moved.DataDir, 0o700)
	})
}

// killAndStart sends SIGKILL, calls between, and starts the process again.
func (u *unit) killAndStart(between func() error) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.closed {
		return nil
	}
	u.expected = true
	if err := u.process.Kill(); err != nil {
		return err
	}
	if err := between(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	u.record.countRestart()
	return u.start()
}

// reseed lets the settings file name other seeds, and sends SIGHUP if signal is set. The
// file is replaced as a whole: the process may be starting, and ends if it reads half of it.
func (u *unit) reseed(seeds []string, signal bool) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.closed {
		return nil
	}
	u.settings.Seeds = seeds
	u.settings.Bootstrap = false
	if err := soak.ReplaceSettings(u.settingsFile(), &u.settings); err != nil || !signal {
		return err
	}
	return u.process.HangUp()
}

// hangUp rewrites the settings file, once in part and once whole, and sends SIGHUP each
// time. While the process is starting the file stays whole, as it could not start without.
func (u *unit) hangUp() error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.closed {
		return nil
	}
	if time.Since(u.started) < startTime {
		return u.process.HangUp()
	}
	if err := os.WriteFile(u.settingsFile(), []byte("{"), 0o600); err != nil {
		return err
	}
	if err := u.process.HangUp(); err != nil {
		return err
	}
	if err := u.writeSettings(); err != nil {
		return err
	}
	return u.process.HangUp()
}

// freeze stops the process for a while. Other disturbances of the process may come
// meanwhile.
func (u *unit) freeze(length time.Duration) error {
	u.mutex.Lock()
	frozen := u.process
	err := frozen.Freeze()
	u.mutex.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(length)
	return frozen.Thaw()
}

// end stops the process for good.
func (u *unit) end() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.process == nil || u.closed {
		return
	}
	u.closed = true
	u.stop()
}

// descriptors returns the number of descriptors that the process has open.
func (u *unit) descriptors() (int, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	count, err := u.process.Descriptors()
	if err != nil {
		return 0, fmt.Errorf("%s: %w", u.name, err)
	}
	return count, nil
}
