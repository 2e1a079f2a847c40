package driver

import (
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/storage"
)

// IsDiskFull reports whether an error means that a write failed because the disk is full. A
// driver can be suspended then; after other failures of writes the process must end.
func IsDiskFull(err error) bool {
	var full *storage.NoSpaceError
	return errors.As(err, &full)
}

// Suspended reports whether this node has stopped participating until its disk has room.
func (d *Driver) Suspended() bool { return d.suspended }

// Suspend stops participating in the group after a write has failed for lack of space. The
// replicated log in memory is discarded, since it may be ahead of the disk: this node then
// neither votes nor leads nor acknowledges entries. Waiting proposals fail with
// ErrLeadershipLost.
func (d *Driver) Suspend() {
	d.FailWaiters(ErrLeadershipLost)
	d.node = nil
	d.failure = nil
	d.suspended = true
}

// Resume participates again with the state that is on the disk, as after a restart of the
// process. It returns the error of the store while the disk is full.
func (d *Driver) Resume(now time.Duration) error {
	if err := d.config.Store.Recover(); err != nil {
		return err
	}
	loaded, err := d.config.Store.Load()
	if err != nil {
		return err
	}
	d.cluster = loaded.Cluster
	if err := d.completeGroupEntry(loaded.Snapshot); err != nil {
		return err
	}
	d.suspended = false
	d.applied, d.snapshotIndex, d.bytesSinceSnapshot = 0, 0, 0
	if d.cluster == "" {
		return nil
	}
	return d.open(loaded, now)
}
