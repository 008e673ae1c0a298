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

// pushMessage hands records down the tree of Root.
type pushMessage struct {
	Root    string              `msgpack:"r"`
	Records []cicadaseam.Record `msgpack:"c"`
	Age     time.Duration       `msgpack:"a"`
}

// pushAnswer tells how far the receiver is.
type pushAnswer struct {
	Position cicadaseam.Offset `msgpack:"p"`
}

// fetchMessage asks for what follows a position.
type fetchMessage struct {
	Position cicadaseam.Offset `msgpack:"p"`
}

// fetchAnswer holds records, or a snapshot when the records are gone.
type fetchAnswer struct {
	Records  []cicadaseam.Record `msgpack:"c,omitempty"`
	Snapshot []byte              `msgpack:"s,omitempty"`
	Age      time.Duration       `msgpack:"a"`
}

// push hands records to the children of this node in the tree of root.
func (f *Feed) push(ctx context.Context, records []cicadaseam.Record, root string) {
	payload, err := f.pushPayload(records, root)
	if f.fanout == 0 || err != nil {
		return
	}
	// A push outlives the read that brought the records.
	ctx = context.WithoutCancel(ctx)
	for _, child := range f.children(root, f.fleet.View().Self.ID) {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.pushTo(ctx, child, payload, root)
		}()
	}
}

func (f *Feed) children(root, id string) []cicadaseam.Member {
	return distribution.Children(f.fleet.View(), root, id, f.fanout)
}

// pushHeads hands records to the first reader of each other zone, which is the
// root of the tree of its zone.
func (f *Feed) pushHeads(ctx context.Context, records []cicadaseam.Record) {
	if f.fanout == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for _, head := range distribution.RemoteZoneRoots(f.fleet.View()) {
		payload, err := f.pushPayload(records, head.ID)
		if err != nil {
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			_ = f.pushOnce(ctx, head.Addr, payload) // its own poll, or gossip, repairs it
		}()
	}
}

func (f *Feed) pushPayload(records []cicadaseam.Record, root string) ([]byte, error) {
	return method.Encode(&pushMessage{Root: root, Records: records, Age: f.Status().Age})
}

// pushTo hands records to one child. When it is not reached, they go to its children
// in its place, and to it once more: a link that went silent while nobody used it is
// closed by the first try, and the next one opens another.
func (f *Feed) pushTo(ctx context.Context, child cicadaseam.Member, payload []byte, root string) {
	if f.pushOnce(ctx, child.Addr, payload) == nil {
		return
	}
	for _, next := range append(f.children(root, child.ID), child) {
		f.wg.Go(func() {
			_ = f.pushOnce(ctx, next.Addr, payload) // the digests on gossip repair the rest
		})
	}
}

func (f *Feed) pushOnce(ctx context.Context, addr string, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	f.counts.PushesSent.Add(1)
	_, err := f.pool.Request(ctx, addr, method.Push, payload)
	return err
}

// servePush takes records from a peer and passes on the new ones.
func (f *Feed) servePush(payload []byte) ([]byte, error) {
	var message pushMessage
	if err := method.Decode(payload, &message); err != nil {
		return nil, err
	}
	f.counts.PushesReceived.Add(1)
	fresh, err := f.store.Ingest(message.Records)
	if len(fresh) > 0 {
		f.counts.PushesNew.Add(1)
	}
	if onward := f.onward(message); len(onward) > 0 {
		f.push(context.Background(), onward, message.Root)
	}
	position, _ := f.store.Position()
	f.mu.Lock()
	f.spread.ObserveLogResponse(time.Now(), message.Age)
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return method.Encode(&pushAnswer{Position: position})
}

// onward returns the records of a push that this node has not yet handed on in
// the tree of their root. Each tree is walked to its end whatever the others
// brought: a node that handed on only what is new to itself would leave out
// members whose parents, one in each tree, heard of the record from the other
// one first.
func (f *Feed) onward(message pushMessage) []cicadaseam.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.handedOn) > maxRoots {
		f.handedOn = map[string]cicadaseam.Offset{}
	}
	last := f.handedOn[message.Root]
	var out []cicadaseam.Record
	for _, r := range message.Records {
		if r.Offset > last {
			out = append(out, r)
			f.handedOn[message.Root] = r.Offset
		}
	}
	return out
}

// fetch asks a peer for what follows the position of this node.
func (f *Feed) fetch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.counts.Fetches.Add(1)
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
		return f.decodeSnapshot(answer.Snapshot)
	}
	_, err = f.store.Ingest(answer.Records)
	return err
}

// serveFetch answers from memory. The log is never asked for a peer.
func (f *Feed) serveFetch(payload []byte) ([]byte, error) {
	var message fetchMessage
	if err := method.Decode(payload, &message); err != nil {
		return nil, err
	}
	answer := fetchAnswer{Age: f.Status().Age}
	records, ok := f.store.RecordsAfter(message.Position, readLimit)
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

// Serve answers the push and fetch requests of peers.
func (f *Feed) ServePeer(_ context.Context, m uint8, payload []byte) ([]byte, error) {
	if m == method.Push {
		return f.servePush(payload)
	}
	return f.serveFetch(payload)
}
