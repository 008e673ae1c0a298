package feed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/snapshot"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

const (
	// DefaultSnapshotPeriod is the age at which a snapshot is renewed. It is far below
	// the retention of the log, so that the log always holds a snapshot.
	DefaultSnapshotPeriod = 10 * time.Minute
	// maxRecordsBetweenSnapshots is the number of new records after which a snapshot is
	// written earlier.
	maxRecordsBetweenSnapshots = 256
	// snapshotCheckPeriod is the time between two checks whether a snapshot is due.
	snapshotCheckPeriod = 5 * time.Second
	// maxSnapshotsRead bounds the number of snapshots that a node reads from the log when it
	// starts, or when the log no longer holds its next record.
	maxSnapshotsRead = 8
)

// runSnapshots writes a snapshot whenever the last one of this node is old, or many records
// have followed it, and this node is the first of the fleet in rendezvous order.
func (f *Feed) runSnapshots(ctx context.Context) {
	defer f.wg.Done()
	sub := f.timers.Subscribe(snapshotCheckPeriod)
	defer sub.Stop()
	var written cicadaseam.Offset
	var writtenAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sub.C:
			position, _ := f.store.Position()
			due := now.Sub(writtenAt) > DefaultSnapshotPeriod || position >= written+maxRecordsBetweenSnapshots
			if position == 0 || !due || !f.isSnapshotWriter() {
				continue
			}
			if f.writeSnapshot(ctx) {
				written, writtenAt = position, now
			}
		}
	}
}

// isSnapshotWriter reports whether this node is the one that writes snapshots.
func (f *Feed) isSnapshotWriter() bool {
	v := f.fleet.View()
	return view.RendezvousRank("snapshot", v.Live(""), v.Self.ID) == 0
}

// writeSnapshot appends a snapshot of the current state to the log and reports whether the
// log confirmed it.
func (f *Feed) writeSnapshot(ctx context.Context) bool {
	state := f.store.State()
	data, err := snapshot.Encode(state)
	if err != nil {
		f.logger.Error("cannot encode snapshot", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if _, err := f.log.Append(ctx, cicadaseam.StreamSnapshot, data); err != nil {
		f.logger.Warn("snapshot append not confirmed", zap.Error(err))
		return false
	}
	f.counters.Snapshots.Add(1)
	f.logger.Info("snapshot written", zap.Uint64("position", uint64(state.Position)), zap.Int("bytes", len(data)))
	return true
}

// installLatestSnapshot installs the snapshot of the highest position among the newest
// records of the snapshot stream. That need not be the last record: a node that was
// paused may have appended one of an older position.
func (f *Feed) installLatestSnapshot(ctx context.Context) error {
	f.counters.LogReads.Add(1)
	first, next, err := f.log.Bounds(ctx, cicadaseam.StreamSnapshot)
	if err != nil || next <= first {
		return err
	}
	from := max(first, next-min(next, maxSnapshotsRead))
	f.counters.LogReads.Add(1)
	records, err := f.log.Read(ctx, cicadaseam.StreamSnapshot, from, maxSnapshotsRead, 0)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := f.installSnapshot(r.Data); err != nil {
			f.logger.Warn("invalid snapshot skipped", zap.Uint64("offset", uint64(r.Offset)), zap.Error(err))
		}
	}
	return nil
}
