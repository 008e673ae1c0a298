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
	// DefaultSnapshotPeriod is the age at which a snapshot is renewed. It is
	// far below the retention of the log, so that a snapshot is always kept.
	DefaultSnapshotPeriod = 10 * time.Minute
	// snapshotRecords is the number of new records that asks for a snapshot
	// earlier.
	snapshotRecords = 256
	snapshotCheck   = 5 * time.Second
	snapshotTries   = 8
)

// runSnapshots writes a snapshot when the newest one is old and this node is
// the first of the fleet in rendezvous order.
func (f *Feed) runSnapshots(ctx context.Context) {
	defer f.wg.Done()
	sub := f.timers.Subscribe(snapshotCheck)
	defer sub.Stop()
	var written cicadaseam.Offset
	var writtenAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sub.C:
			position, _ := f.store.Position()
			due := now.Sub(writtenAt) > DefaultSnapshotPeriod || position >= written+snapshotRecords
			if position == 0 || !due || !f.onSnapshotDuty() {
				continue
			}
			if f.writeSnapshot(ctx) {
				written, writtenAt = position, now
			}
		}
	}
}

func (f *Feed) onSnapshotDuty() bool {
	v := f.fleet.View()
	return view.RendezvousRank("snapshot", v.Live(""), v.Self.ID) == 0
}

func (f *Feed) writeSnapshot(ctx context.Context) bool {
	state := f.store.State()
	data, err := snapshot.Encode(state)
	if err != nil {
		f.logger.Error("snapshot not encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := f.log.Append(ctx, cicadaseam.StreamSnapshot, data); err != nil {
		f.logger.Warn("snapshot not confirmed", zap.Error(err))
		return false
	}
	f.counts.Snapshots.Add(1)
	f.logger.Info("snapshot written", zap.Uint64("position", uint64(state.Position)), zap.Int("bytes", len(data)))
	return true
}

// startFromSnapshot installs the best of the newest snapshots. The newest
// record may be of an older position, written late by a paused node.
func (f *Feed) startFromSnapshot(ctx context.Context) error {
	f.counts.LogReads.Add(1)
	first, next, err := f.log.Bounds(ctx, cicadaseam.StreamSnapshot)
	if err != nil || next <= first {
		return err
	}
	from := max(first, next-min(next, snapshotTries))
	f.counts.LogReads.Add(1)
	records, err := f.log.Read(ctx, cicadaseam.StreamSnapshot, from, snapshotTries, 0)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := f.decodeSnapshot(r.Data); err != nil {
			f.logger.Warn("snapshot refused", zap.Uint64("offset", uint64(r.Offset)), zap.Error(err))
		}
	}
	return nil
}
