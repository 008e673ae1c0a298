package fleet

import (
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// maxQueried bounds the senders of one query.
const maxQueried = 64

// query asks for the last full heartbeats of processes of which the sender knows only
// compact ones.
type query struct {
	Addr      string // of the node that asks
	SenderIDs []uint64
}

// recordUnknown records the ID of an unknown process for the next query. The lock is held.
func (f *Fleet) recordUnknown(id uint64) {
	if len(f.unknown) < maxQueried {
		f.unknown[id] = true
	}
}

// nextQuery returns a query for the unknown processes and the node that is asked, or an
// empty address if there is nothing or nobody to ask. The lock is held.
func (f *Fleet) nextQuery(now time.Time) (addr string, q query) {
	if len(f.unknown) == 0 {
		return "", q
	}
	var sameZone, others []string
	for a, e := range f.entries {
		switch {
		case e.peer == nil || !e.peer.Heartbeat.Relays || now.Sub(e.peer.LastHeard) > f.silenceTimeout():
		case e.zone == f.zone:
			sameZone = append(sameZone, a)
		default:
			others = append(others, a)
		}
	}
	if len(sameZone) == 0 {
		sameZone = others
	}
	chosen := f.rotate(sameZone, 1)
	if len(chosen) == 0 {
		return "", q
	}
	q.Addr = f.self
	for id := range f.unknown {
		q.SenderIDs = append(q.SenderIDs, id)
	}
	clear(f.unknown)
	return chosen[0], q
}

func (f *Fleet) sendQuery(addr string, q query) {
	if addr == "" {
		return
	}
	body, err := pack.Marshal(&q)
	if err != nil {
		f.logger.Error("query not encoded", logging.Error(err))
		return
	}
	f.transmit(addr, append([]byte{FormatQuery}, body...))
}

// answerQuery sends the full heartbeats that an encoded query asks for, of the nodes that
// are not silent.
func (f *Fleet) answerQuery(data []byte) {
	var q query
	if err := pack.Unmarshal(data, &q); err != nil {
		f.counts.Dropped.Add(1)
		return
	}
	var answers [][]byte
	for _, hb := range f.queried(f.now(), q) {
		data, err := encode(hb, true)
		if err != nil {
			f.logger.Error("heartbeat not encoded", logging.Error(err))
			return
		}
		answers = append(answers, data)
	}
	datagrams, err := batches(answers)
	if err != nil {
		f.logger.Error("heartbeats not encoded", logging.Error(err))
		return
	}
	f.transmit(q.Addr, datagrams...)
}

// queried returns the last heartbeats of the processes that a query names. It returns none
// for a node that is not known: an answer goes only to nodes of the fleet.
func (f *Fleet) queried(now time.Time, q query) []Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries[q.Addr] == nil {
		return nil
	}
	timeout := f.silenceTimeout()
	var out []Heartbeat
	for _, id := range q.SenderIDs[:min(len(q.SenderIDs), maxQueried)] {
		e := f.senders[id]
		if e == nil || now.Sub(e.peer.LastHeard) > timeout {
			continue
		}
		hb := e.peer.Heartbeat
		hb.Departed = e.departures()
		hb.Marks, hb.SentAt, hb.Known = nil, 0, false // those were true of another datagram
		out = append(out, hb)
	}
	return out
}
