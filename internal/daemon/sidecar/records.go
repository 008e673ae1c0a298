package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/mesh/epoch"
)

// nodeEntry returns the directory entry of this node.
func (n *Node) nodeEntry() (cicadaseam.DirectoryEntry, error) {
	value, err := pack.Marshal(&nodeRecord{Addr: n.settings.peerAddr(), Zone: n.settings.Zone})
	return cicadaseam.DirectoryEntry{Key: nodePrefix + n.settings.Name, Value: value}, err
}

// departureEntry returns the directory entry of a departed instance of this node's backend server.
func (n *Node) departureEntry(d cicadaseam.Departure) (cicadaseam.DirectoryEntry, error) {
	value, err := pack.Marshal(&departureRecord{StartUnixMilli: d.StartUnixMilli})
	if err == nil {
		value, err = pack.AppendExtension(value, &departureExtension{Addr: n.settings.peerAddr()})
	}
	return cicadaseam.DirectoryEntry{Key: departedPrefix + d.ID, Value: value}, err
}

// addDepartures adds departures from the directory. Those at other nodes are of no use here, but
// releases that do not tell the node may have recorded any of them.
func (n *Node) addDepartures(records []departure) {
	var own, unknown []cicadaseam.Departure
	for _, r := range records {
		switch r.addr {
		case n.settings.peerAddr():
			own = append(own, r.Departure)
		case "":
			unknown = append(unknown, r.Departure)
		}
	}
	now := time.Now()
	n.target.AddPast(now, unknown)
	n.target.MarkDeparted(now, own)
}

// keepRecords writes the records of this node again after the store has come back from an older
// copy.
func (n *Node) keepRecords(ctx context.Context) {
	epochs := n.platform.Epochs
	var known epoch.Counts
	for ctx.Err() == nil {
		due, isDue := epochs.Due(n.fleet.Size())
		wake := time.NewTimer(time.Until(due))
		if !isDue {
			wake.Stop()
		}
		select {
		case <-ctx.Done():
		case <-epochs.Signal():
			known = n.reportEpochs(known)
		case <-wake.C:
			n.rewriteRecords(ctx)
		}
		wake.Stop()
	}
}

// reportEpochs logs what changed about the epoch of the store, and tells the nodes of the zone of
// a new one that the store itself named. The others learn of it with the next heartbeat. known
// are the counts that were reported before.
func (n *Node) reportEpochs(known epoch.Counts) epoch.Counts {
	epochs := n.platform.Epochs
	if c := epochs.TakeChange(); c != nil {
		n.logger.Info("epoch of the store changed", zap.Uint64("epoch", c.Epoch), zap.Uint64("before", c.Before), zap.String("from", c.From), zap.Uint64("revision", n.syncer.Number()))
		if c.From == fromStore {
			n.fleet.NotifyZone(n.settings.Zone)
		}
	}
	counts := epochs.Counts()
	if counts.LastInvalid != known.LastInvalid {
		n.logger.Warn("invalid epoch of the store ignored", zap.String("value", counts.LastInvalid), zap.Uint64("epoch", epochs.Epoch()))
	}
	return counts
}

// fromStore stands for the store where otherwise the name of a node says who told an epoch.
const fromStore = "store"

// ObserveEpoch returns a function that passes the epochs in the responses of the store to a
// tracker.
func ObserveEpoch(epochs *epoch.Tracker) func(number uint64, value string, err error) {
	return func(number uint64, value string, err error) {
		if err != nil {
			epochs.ObserveInvalid(value)
			return
		}
		epochs.Observe(time.Now(), number, fromStore)
	}
}

// rewriteRecords writes all records of this node to the directory, in one call.
func (n *Node) rewriteRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	entries, departed, err := n.records()
	if err != nil {
		n.logger.Error("records not encoded", logging.Error(err))
		return
	}
	began := time.Now()
	number, err := n.platform.Directory.Put(ctx, entries...)
	if err != nil {
		n.platform.Epochs.Failed(time.Now())
		n.logger.Warn("records not written again", zap.Int("records", len(entries)), logging.Error(err))
		return
	}
	for _, d := range departed {
		n.recordedDeparted.Store(d, true)
	}
	n.platform.Epochs.Written(time.Now(), number, true)
	n.meter.ObserveRewrite(len(entries))
	n.logger.Info("records written again", zap.Int("records", len(entries)), zap.Int("departed", len(departed)), zap.Uint64("epoch", number), zap.Duration("took", time.Since(began)))
}

// records returns the directory entries of this node and of its departed instances, and these.
func (n *Node) records() ([]cicadaseam.DirectoryEntry, []cicadaseam.Departure, error) {
	entry, err := n.nodeEntry()
	if err != nil {
		return nil, nil, err
	}
	entries := []cicadaseam.DirectoryEntry{entry}
	departed := n.target.Departed()
	for _, d := range departed {
		if entry, err = n.departureEntry(d); err != nil {
			return nil, nil, err
		}
		entries = append(entries, entry)
	}
	return entries, departed, nil
}
