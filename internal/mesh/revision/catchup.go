package revision

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

// wanted is the latest number that another node told.
type wanted struct {
	number uint64
	addr   string
	near   bool
}

// Since returns what a node needs that has a revision.
func (k *Syncer) UpdateSince(have uint64) ([]byte, error) {
	k.mu.Lock()
	u := k.update(have)
	k.mu.Unlock()
	return u.encode()
}

// update returns the deltas from a revision, or the whole one. The lock is held.
func (k *Syncer) update(have uint64) *Update {
	for i := range k.deltas {
		if k.deltas[i].From == have {
			return &Update{Deltas: k.deltas[i:]}
		}
	}
	return &Update{Full: k.current}
}

// takeUpdate applies what another node handed over.
func (k *Syncer) takeUpdate(data []byte, from string) error {
	u, err := decodeUpdate(data)
	if err != nil {
		return err
	}
	if u.Full != nil {
		return k.takeRevision(u.Full, from)
	}
	for i := range u.Deltas {
		d := &u.Deltas[i]
		if d.To <= k.Number() {
			continue
		}
		next, err := d.apply(k.Current())
		if err != nil {
			return err
		}
		if err := k.takeRevision(next, from); err != nil {
			return err
		}
	}
	return nil
}

// Heard takes how far another node is; near tells that it is in the own zone.
func (k *Syncer) ObservePeer(ctx context.Context, addr string, number uint64, near bool) {
	if number <= k.Number() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if number > k.wanted.number || near && !k.wanted.near {
		k.wanted = wanted{number: max(number, k.wanted.number), addr: addr, near: near}
	}
	if k.fetching {
		return
	}
	k.fetching = true
	go k.catchUp(ctx)
}

// catchUp fetches until nothing later is known or a fetch brings nothing.
func (k *Syncer) catchUp(ctx context.Context) {
	for k.step(ctx) {
		continue
	}
}

// step fetches once. It returns false, and ends the fetching, when there is no more
// to do.
func (k *Syncer) step(ctx context.Context) bool {
	if !k.near() && (k.Number() > 0 || !k.SourceUnavailable()) {
		k.awaitNear(ctx)
	}
	before := k.Number()
	k.mu.Lock()
	w := k.wanted
	if before >= w.number {
		k.fetching = false
		k.wanted = wanted{}
		k.mu.Unlock()
		return false
	}
	k.mu.Unlock()
	k.fetchFrom(ctx, w)
	if k.Number() > before {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fetching = false
	k.wanted = wanted{}
	return false
}

func (k *Syncer) near() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wanted.near
}

// awaitNear gives a node of the own zone a moment to have what is wanted.
func (k *Syncer) awaitNear(ctx context.Context) {
	const look = 50 * time.Millisecond
	for waited := time.Duration(0); waited < behindFor && !k.near(); waited += look {
		k.mu.Lock()
		done := k.table.Load() != nil && k.Number() >= k.wanted.number
		k.mu.Unlock()
		if done || k.Number() == 0 && k.SourceUnavailable() || !wait.Sleep(ctx, look) {
			return
		}
	}
}

func (k *Syncer) fetchFrom(ctx context.Context, w wanted) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := k.fetch(ctx, w.addr, k.Number())
	if err == nil {
		err = k.takeUpdate(data, w.addr)
	}
	if err != nil {
		k.logger.Info("configuration not fetched", zap.String("peer", w.addr), zap.Uint64("revision", w.number), logging.Error(err))
	}
}
