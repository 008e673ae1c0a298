package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
	"github.com/cicadaseam/cicadaseam/internal/config/snapshot"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
)

// pushMessage carries records down the push tree of Root, the id of a member. Age is the
// time since the last response of the log that the sender has learned of.
type pushMessage struct {
	Root    string              `msgpack:"r"`
	Records []cicadaseam.Record `msgpack:"c"`
	Age     time.Duration       `msgpack:"a"`
}

// pushAnswer acknowledges a push with the position of the receiver.
type pushAnswer struct {
	Position cicadaseam.Offset `msgpack:"p"`
}

// fetchMessage requests the records after a position.
type fetchMessage struct {
	Position cicadaseam.Offset `msgpack:"p"`
}

// fetchAnswer holds the records, or a snapshot if the peer no longer retains them. Age is
// as in pushMessage.
type fetchAnswer struct {
	Records  []cicadaseam.Record `msgpack:"c,omitempty"`
	Snapshot []byte              `msgpack:"s,omitempty"`
	Age      time.Duration       `msgpack:"a"`
}

// pushToChildren pushes records to the children of this node in the tree of root.
func (f *Feed) pushToChildren(ctx context.Context, records []cicadaseam.Record, root string) {
	payload, err := f.encodePush(records, root)
	if f.fanout == 0 || err != nil {
		return
	}
	// A push goes on after the end of the read that returned the records.
	ctx = context.WithoutCancel(ctx)
	for _, child := range f.children(root, f.fleet.View().Self.ID) {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.pushToChild(ctx, child, payload, root)
		}()
	}
}

// children returns the children of a member in the tree of root.
func (f *Feed) children(root, id string) []cicadaseam.Member {
	return distribution.Children(f.fleet.View(), root, id, f.fanout)
}

// pushToRemoteZones pushes records to the first reader of each other zone, which is the
// root of the tree of its zone.
func (f *Feed) pushToRemoteZones(ctx context.Context, records []cicadaseam.Record) {
	if f.fanout == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for _, root := range distribution.RemoteZoneRoots(f.fleet.View()) {
		payload, err := f.encodePush(records, root.ID)
		if err != nil {
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			// A root that the push does not reach gets the records by its own poll, or by
			// a fetch.
			_ = f.sendPush(ctx, root.Addr, payload)
		}()
	}
}

func (f *Feed) encodePush(records []cicadaseam.Record, root string) ([]byte, error) {
	return method.Encode(&pushMessage{Root: root, Records: records, Age: f.Status().Age})
}

// pushToChild pushes records to a child. If that fails, it pushes them to the children of
// the child instead, and once more to the child: the first push closes a link that failed
// silently while it was idle, and the second one opens another.
func (f *Feed) pushToChild(ctx context.Context, child cicadaseam.Member, payload []byte, root string) {
	if f.sendPush(ctx, child.Addr, payload) == nil {
		return
	}
	for _, next := range append(f.children(root, child.ID), child) {
		f.wg.Go(func() {
			// A member that the push does not reach learns of the records by gossip and
			// fetches them.
			_ = f.sendPush(ctx, next.Addr, payload)
		})
	}
}

func (f *Feed) sendPush(ctx context.Context, addr string, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	f.counters.PushesSent.Add(1)
	_, err := f.pool.Request(ctx, addr, method.Push, payload)
	return err
}

// servePush applies records that a peer pushes, and forwards in the tree of their root
// those that it has not yet forwarded there.
func (f *Feed) servePush(payload []byte) ([]byte, error) {
	var message pushMessage
	if err := method.Decode(payload, &message); err != nil {
		return nil, err
	}
	f.counters.PushesReceived.Add(1)
	applied, err := f.store.Ingest(message.Records)
	if len(applied) > 0 {
		f.counters.PushesNew.Add(1)
	}
	if records := f.selectForward(message); len(records) > 0 {
		f.pushToChildren(context.Background(), records, message.Root)
	}
	position, _ := f.store.Position()
	f.mu.Lock()
	f.scheduler.ObserveLogResponse(time.Now(), message.Age)
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return method.Encode(&pushAnswer{Position: position})
}

// selectForward returns the records of a push that this node has not yet forwarded in the
// tree of their root, and notes them as forwarded. A record goes down the whole tree of
// each root, whatever the trees of other roots have brought. If nodes forwarded only the
// records that are new to them, a member could be left out: each of its parents (there is
// one in each tree) may have received the record first through the other tree.
func (f *Feed) selectForward(message pushMessage) []cicadaseam.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.forwarded) > maxForwardedRoots {
		f.forwarded = map[string]cicadaseam.Offset{}
	}
	last := f.forwarded[message.Root]
	var records []cicadaseam.Record
	for _, r := range message.Records {
		if r.Offset > last {
			records = append(records, r)
			f.forwarded[message.Root] = r.Offset
		}
	}
	return records
}

// fetch requests the records after the position of this node from a peer.
func (f *Feed) fetch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	f.counters.Fetches.Add(1)
	position, _ := f.store.Position()
	payload, err := method.Encode(&fetchMessage{Position: position})
	if err != nil {
		return err
	}
	data, err := f.pool.Request(ctx, addr, method.Fetch, payload)
	if err != nil {
		return errors.Wrapf(err, "fetch from %s", addr)
	}
	var answer fetchAnswer
	if err := method.Decode(data, &answer); err != nil {
		return err
	}
	if len(answer.Snapshot) > 0 {
		return f.installSnapshot(answer.Snapshot)
	}
	_, err = f.store.Ingest(answer.Records)
	return err
}

// serveFetch answers a fetch from memory. It never reads the log for a peer.
func (f *Feed) serveFetch(payload []byte) ([]byte, error) {
	var message fetchMessage
	if err := method.Decode(payload, &message); err != nil {
		return nil, err
	}
	answer := fetchAnswer{Age: f.Status().Age}
	records, ok := f.store.RecordsAfter(message.Position, maxRecordsPerRead)
	if ok {
		answer.Records = records
		return method.Encode(&answer)
	}
	data, err := snapshot.Encode(f.store.State())
	if err != nil {
		return nil, err
	}
	answer.Snapshot = data
	return method.Encode(&answer)
}

// ServePeer answers the push and fetch requests of peers.
func (f *Feed) ServePeer(_ context.Context, m uint8, payload []byte) ([]byte, error) {
	if m == method.Push {
		return f.servePush(payload)
	}
	return f.serveFetch(payload)
}
