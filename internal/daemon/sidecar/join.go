package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
)

// Key prefixes of the directory: nodePrefix is followed by the name of a node,
// departedPrefix by the ID of an instance that announced that it is draining or that was
// withdrawn. Its value is the start time of the instance.
const (
	nodePrefix     = "node/"
	departedPrefix = "left/"
)

const (
	// joinTimeout bounds one attempt to join through the directory. minJoinBackoff and
	// maxJoinBackoff are the first and the largest bound of the random delay between two
	// attempts. Half of minJoinBackoff is added to each delay.
	joinTimeout    = 2 * time.Second
	minJoinBackoff = 100 * time.Millisecond
	maxJoinBackoff = time.Second
	// peerJoinDelay is how long this node waits for the directory before it also tries to
	// join through the nodes that send it heartbeats.
	peerJoinDelay = 400 * time.Millisecond
	// departedQueryPeriod is the time between two rounds of asking peers for the departed
	// instances, departedQueryTimeout bounds each request, and departedQueryPeers is the
	// number of answers that end a round.
	departedQueryPeriod  = 100 * time.Millisecond
	departedQueryTimeout = 300 * time.Millisecond
	departedQueryPeers   = 3
	// departedQueryTime bounds how long a node that joined through the directory goes on asking.
	departedQueryTime = 10 * time.Second
	// awaitDepartedTime bounds the time for which a node delays its readiness until a peer has
	// answered, and awaitDepartedPeriod is the time between two looks for peers.
	awaitDepartedTime   = 250 * time.Millisecond
	awaitDepartedPeriod = 10 * time.Millisecond
	// maxHostBytes and maxZoneBytes bound the host name or IP address of a node and the name of its
	// zone.
	maxHostBytes = 255
	maxZoneBytes = 255
	// recordDepartedTimeout bounds how long the acknowledgement of a draining or
	// withdrawn instance waits for the directory.
	recordDepartedTimeout = 300 * time.Millisecond
)

// nodeRecord is the record of a node in the directory.
type nodeRecord struct {
	Addr string
	Zone string
}

// decodeNode returns the node that a record describes. Other writers may have left records that no node
// writes.
func decodeNode(value []byte) (nodeRecord, error) {
	var r nodeRecord
	if err := pack.Unmarshal(value, &r); err != nil {
		return nodeRecord{}, err
	}
	host, port, err := net.SplitHostPort(r.Addr)
	if err != nil {
		return nodeRecord{}, errors.Wrap(err, "address of a node")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" || len(host) > maxHostBytes || len(r.Zone) > maxZoneBytes {
		return nodeRecord{}, errors.New("the host, port or zone of a node is missing or out of range")
	}
	return r, nil
}

// departureRecord is the record of a departed instance in the directory.
type departureRecord struct{ StartUnixMilli int64 }

// departureExtension is the extension of a departureRecord: the address of the node beside which the
// instance was. Records of earlier releases have none.
type departureExtension struct {
	Addr string `msgpack:"a"`
}

// departure is a departure as the directory has it.
type departure struct {
	cicadaseam.Departure
	addr string // of its node, or empty
}

// join writes the record of this node to the directory and then reads those of the
// others, until it succeeds or ctx ends. Because every node writes before it reads, of
// two nodes that start at the same time at least the later reader finds the other.
func (n *Node) join(ctx context.Context) {
	written := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := n.tryJoin(ctx, &written)
		if err == nil {
			n.awaitDeparted(ctx)
			n.joined.Store(true)
			n.fleet.NotifyAll()
			return
		}
		n.logger.Warn("cannot join through the directory", zap.Int("attempt", attempt), logging.Error(err))
		wait.Sleep(ctx, minJoinBackoff/2+wait.Backoff(rand.Int64N, attempt, minJoinBackoff, maxJoinBackoff))
	}
}

// joinThroughPeers joins without the directory while that is unavailable. Nodes that
// know the address of this node from an earlier process send heartbeats there, and they
// remember which instances at that address departed.
func (n *Node) joinThroughPeers(ctx context.Context) {
	wait.Sleep(ctx, peerJoinDelay)
	until := time.Now().Add(departedQueryTime)
	for !n.joined.Load() || !n.knowsPast() && time.Now().Before(until) {
		if !wait.Sleep(ctx, departedQueryPeriod) {
			return
		}
		answered := n.queryDeparted(ctx)
		if answered > 0 && !n.joined.Load() && n.syncer.Table() != nil {
			n.joined.Store(true)
			n.logger.Info("joined through peers", zap.Int("asked", answered))
		}
	}
}

// queryDeparted asks a few peers for the departed instances of this node's backend server, which
// the directory has lost if the store was restored since, and for the requests that crash backend
// servers, which are in no directory. It returns how many answered.
func (n *Node) queryDeparted(ctx context.Context) (answered int) {
	asked := 0
	for _, p := range n.fleet.Peers() {
		if asked == 2*departedQueryPeers || answered == departedQueryPeers || ctx.Err() != nil {
			break
		}
		asked++
		if n.fetchDeparted(ctx, p.Heartbeat.Addr) {
			answered++
			if n.fetchSuspicions(ctx, p.Heartbeat.Addr) {
				n.suspicionsKnown.Store(true)
			}
		}
	}
	if answered > 0 {
		n.departedKnown.Store(true)
	}
	return answered
}

// knowsPast reports whether peers have told this process what happened before its start.
func (n *Node) knowsPast() bool { return n.departedKnown.Load() && n.suspicionsKnown.Load() }

// awaitDeparted waits a moment for the first peer to tell the departed instances, if the
// directory has other nodes.
func (n *Node) awaitDeparted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, awaitDepartedTime)
	defer cancel()
	for n.fleet.Size() > 1 && n.queryDeparted(ctx) == 0 && wait.Sleep(ctx, awaitDepartedPeriod) {
		continue
	}
}

// fetchDeparted asks a peer for the departed instances of this node's backend server and
// marks them. It reports whether the peer answered.
func (n *Node) fetchDeparted(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, departedQueryTimeout)
	defer cancel()
	self := n.settings.peerAddr()
	payload, err := method.Encode(&self)
	if err != nil {
		return false
	}
	data, err := n.bulkPool.Request(ctx, addr, method.Departed, payload)
	var departed []cicadaseam.Departure
	if err == nil {
		err = method.Decode(data, &departed)
	}
	if err != nil {
		n.logger.Info("cannot get the departed instances from a peer", zap.String("peer", addr), logging.Error(err))
		return false
	}
	n.target.MarkDeparted(time.Now(), departed)
	return true
}

// fetchSuspicions asks a peer for the requests that may crash backend servers. It reports whether the
// peer answered. The answer of a node of an earlier release is an error.
func (n *Node) fetchSuspicions(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, departedQueryTimeout)
	defer cancel()
	data, err := n.bulkPool.Request(ctx, addr, method.Suspicions, nil)
	var suspicions []cicadaseam.Suspicion
	if err == nil {
		err = method.Decode(data, &suspicions)
	}
	if err != nil {
		n.logger.Info("cannot get the requests that crash backend servers from a peer", zap.String("peer", addr), logging.Error(err))
		var remote *mux.RemoteError
		return errors.As(err, &remote)
	}
	n.guard.MergeSuspicions(time.Now(), suspicions)
	return true
}

// tryJoin makes one attempt to join through the directory. written is set once the
// record of this node is written, so that later attempts do not write it again.
func (n *Node) tryJoin(ctx context.Context, written *bool) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if !*written {
		entry, err := n.nodeEntry()
		if err != nil {
			return err
		}
		epoch, err := n.platform.Directory.Put(ctx, entry)
		if err != nil {
			return err
		}
		n.platform.Epochs.Written(time.Now(), epoch, true)
		*written = true
	}
	entries, err := n.platform.Directory.List(ctx)
	if err != nil {
		return err
	}
	n.applyDirectory(entries)
	return nil
}

// applyDirectory adds the addresses of the nodes in the directory to the fleet and marks
// the departed instances. It skips records that cannot be decoded.
func (n *Node) applyDirectory(entries []cicadaseam.DirectoryEntry) {
	var departed []departure
	nodes := 0
	for _, entry := range entries {
		if id, ok := strings.CutPrefix(entry.Key, departedPrefix); ok {
			var record departureRecord
			var x departureExtension
			if err := pack.UnmarshalExtended(entry.Value, &record, &x); err != nil {
				n.logger.Warn("departure without its start time or its node", zap.String("key", entry.Key), logging.Error(err))
			}
			d := cicadaseam.Departure{ID: id, StartUnixMilli: record.StartUnixMilli}
			n.recordedDeparted.Store(d, true)
			departed = append(departed, departure{d, x.Addr})
			continue
		}
		record, err := decodeNode(entry.Value)
		if err != nil {
			n.logger.Warn("invalid directory record skipped", zap.String("key", entry.Key), logging.Error(err))
			continue
		}
		n.fleet.AddAddr(record.Addr, record.Zone)
		nodes++
	}
	n.addDepartures(departed)
	n.logger.Info("directory read", zap.Int("nodes", nodes), zap.Int("left", len(departed)))
}

// Registrar receives the announcements and withdrawals of the backend server.
type Registrar struct{ node *Node }

// Announce handles an announcement. It returns false, and ignores the announcement, if
// it is not of the backend server of this node.
func (r *Registrar) Announce(instance cicadaseam.Instance) bool {
	n := r.node
	if instance.Service != n.settings.Service || n.settings.BackendAddr != "" && instance.Addr != n.settings.BackendAddr {
		n.logger.Warn("announcement of another backend server ignored", zap.String("instance", instance.ID), zap.String("service", instance.Service), zap.String("address", instance.Addr))
		return false
	}
	n.target.Announce(time.Now(), instance)
	d, departed := n.target.Departure(instance.ID)
	if !departed && instance.State == cicadaseam.BackendDraining {
		d = cicadaseam.Departure{ID: instance.ID, StartUnixMilli: instance.StartUnixMilli}
	}
	if d.ID != "" {
		n.recordDeparted(d)
	}
	return true
}

// Withdraw handles the withdrawal of an instance.
func (r *Registrar) Withdraw(id string) {
	r.node.target.Withdraw(time.Now(), id)
	d, _ := r.node.target.Departure(id)
	r.node.recordDeparted(d)
}

// recordDeparted writes to the directory, once for each instance, that an instance
// departed, so that this node rejects a delayed announcement of it even after a restart.
func (n *Node) recordDeparted(d cicadaseam.Departure) {
	if _, recorded := n.recordedDeparted.LoadOrStore(d, true); recorded {
		return
	}
	entry, err := n.departureEntry(d)
	if err != nil {
		n.logger.Error("departure not encoded", zap.String("instance", d.ID), logging.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordDepartedTimeout)
	defer cancel()
	epoch, err := n.platform.Directory.Put(ctx, entry)
	if err != nil {
		n.recordedDeparted.Delete(d) // the next announcement retries
		n.logger.Warn("cannot record the departed instance in the directory", zap.String("instance", d.ID), logging.Error(err))
		return
	}
	n.platform.Epochs.Written(time.Now(), epoch, false)
}

// instanceDeparted is called by the target when its instance says in an answer that it departs.
func (n *Node) instanceDeparted(d cicadaseam.Departure) { go n.recordDeparted(d) }

// instanceChanged is called by the target when its instance changes, or the state of that
// instance. It notifies the other nodes.
func (n *Node) instanceChanged() { n.notifyPeers() }
