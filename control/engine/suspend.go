package engine

import (
	"time"

	"github.com/deckpulley/deckpulley/control/driver"
)

// resumeInterval is the time between two attempts to resume after the disk was full.
const resumeInterval = 500 * time.Millisecond

// suspend stops participating in the group if an error means that the disk is full. It
// returns other errors, which must end the event loop.
func (m *machine) suspend(now time.Duration, err error) error {
	if !driver.IsDiskFull(err) {
		return err
	}
	m.log.Error("disk full: this node does not participate until there is room", "error", err)
	m.metrics.DiskFull.Set(1)
	m.leadership = nil
	m.driver.Suspend()
	m.nextResume = now + resumeInterval
	return nil
}

// resume participates again, with the state that is on the disk, if the disk has room. It
// does nothing unless this node is suspended and an attempt is due.
func (m *machine) resume(now time.Duration) error {
	if !m.driver.Suspended() || now < m.nextResume {
		return nil
	}
	m.nextResume = now + resumeInterval
	err := m.driver.Resume(now)
	if driver.IsDiskFull(err) {
		m.driver.Suspend()
		return nil
	}
	if err != nil {
		return err
	}
	m.log.Info("disk has room again: this node participates")
	m.metrics.DiskFull.Set(0)
	return nil
}
