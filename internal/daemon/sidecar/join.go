package sidecar

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
)

// Keys of the directory: "node/" and the name of a node, "left/" and the id of an
// instance that said that it leaves.
const (
	nodePrefix = "node/"
	leftPrefix = "left/"
)

const (
	joinTimeout = 2 * time.Second
	joinFirst   = 100 * time.Millisecond
	joinCap     = time.Second
	// joinPatience is how long the directory is waited for before other nodes that
	// found this one are asked instead.
	joinPatience  = 400 * time.Millisecond
	recallPeriod  = 100 * time.Millisecond
	recallTimeout = 300 * time.Millisecond
	recallPeers   = 3
	// leaveTimeout bounds how long the acknowledgement of a leaving backend server
	// waits for the directory.
	leaveTimeout = 300 * time.Millisecond
)

// nodeRecord is a node in the directory.
type nodeRecord struct {
	Addr string
	Zone string
}

// join writes the record of this node and then reads those of the others. Of two
// nodes that start together, the one that reads later finds the other.
func (n *Node) join(ctx context.Context) {
	written := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := n.tryJoin(ctx, &written)
		if err == nil {
			n.joined.Store(true)
			n.fleet.NotifyAll()
			return
		}
		n.logger.Warn("directory not reached", zap.Int("attempt", attempt), logging.Error(err))
		wait.Sleep(ctx, joinFirst/2+wait.Backoff(rand.Int64N, attempt, joinFirst, joinCap))
	}
}

// joinThroughPeers joins without the directory, while that does not answer: nodes
// that knew the address of this one send it beats, and remember what left here.
func (n *Node) joinThroughPeers(ctx context.Context) {
	wait.Sleep(ctx, joinPatience)
	for !n.joined.Load() && wait.Sleep(ctx, recallPeriod) {
		asked := 0
		for _, p := range n.fleet.Peers() {
			if asked < recallPeers && n.recall(ctx, p.Heartbeat.Addr) {
				asked++
			}
		}
		if asked > 0 && n.keeper.Table() != nil {
			n.joined.Store(true)
			n.logger.Info("joined through other nodes", zap.Int("asked", asked))
		}
	}
}

// recall asks a node what left here.
func (n *Node) recall(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	self := n.settings.peerAddr()
	payload, err := method.Encode(&self)
	if err != nil {
		return false
	}
	data, err := n.bulk.Request(ctx, addr, method.Departed, payload)
	var left []string
	if err == nil {
		err = method.Decode(data, &left)
	}
	if err != nil {
		n.logger.Info("node did not say what left here", zap.String("peer", addr), logging.Error(err))
		return false
	}
	n.target.MarkDeparted(time.Now(), left)
	return true
}

func (n *Node) tryJoin(ctx context.Context, written *bool) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if !*written {
		value, err := pack.Marshal(&nodeRecord{Addr: n.settings.peerAddr(), Zone: n.settings.Zone})
		if err != nil {
			return err
		}
		if err := n.platform.Directory.Put(ctx, nodePrefix+n.settings.Name, value); err != nil {
			return err
		}
		*written = true
	}
	list, err := n.platform.Directory.List(ctx)
	if err != nil {
		return err
	}
	n.learn(list)
	return nil
}

// learn takes the records of the directory. What cannot be read is passed over.
func (n *Node) learn(list []cicadaseam.DirectoryEntry) {
	var addrs, left []string
	for _, x := range list {
		if id, ok := strings.CutPrefix(x.Key, leftPrefix); ok {
			left = append(left, id)
			continue
		}
		var r nodeRecord
		if err := pack.Unmarshal(x.Value, &r); err != nil {
			n.logger.Warn("directory record dropped", zap.String("key", x.Key), logging.Error(err))
			continue
		}
		addrs = append(addrs, r.Addr)
	}
	n.target.MarkDeparted(time.Now(), left)
	n.fleet.AddAddrs(addrs)
	n.logger.Info("directory read", zap.Int("nodes", len(addrs)), zap.Int("left", len(left)))
}

// Instances takes what the backend server says of itself.
type Registrar struct{ node *Node }

// Announce takes an announcement. It returns false for one that names no backend
// server of this node.
func (i *Registrar) Announce(x cicadaseam.Instance) bool {
	n := i.node
	if x.Service != n.settings.Service || n.settings.BackendAddr != "" && x.Addr != n.settings.BackendAddr {
		n.logger.Warn("announcement of another backend server dropped", zap.String("instance", x.ID), zap.String("service", x.Service), zap.String("address", x.Addr))
		return false
	}
	if x.State == cicadaseam.BackendDraining {
		n.keepLeaving(x.ID)
	}
	n.target.Announce(time.Now(), x)
	return true
}

// Withdraw takes a goodbye.
func (i *Registrar) Withdraw(id string) {
	i.node.target.Withdraw(time.Now(), id)
	i.node.keepLeaving(id)
}

// keepLeaving writes down that an instance leaves, once, so that a process that
// starts here again does not believe an older announcement.
func (n *Node) keepLeaving(id string) {
	if _, known := n.left.LoadOrStore(id, true); known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.platform.Directory.Put(ctx, leftPrefix+id, []byte{1}); err != nil {
		n.left.Delete(id) // the next announcement tries again
		n.logger.Warn("leaving not written down", zap.String("instance", id), logging.Error(err))
	}
}

// instanceChanged tells the others at once.
func (n *Node) instanceChanged() { n.tell() }
