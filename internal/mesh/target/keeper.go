package target

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// verdict is what an announcement means.
type verdict uint8

const (
	// verdictStale: it is older than what is known, or of an instance that left.
	verdictStale verdict = iota
	verdictRenewed
	verdictNew
)

const (
	// maxKnown bounds the instances that are remembered.
	maxKnown = 64
	// silentFor is how long the current instance must be silent before another one
	// that was known before it may come back.
	silentFor = 3 * time.Second
)

// record is what is known of one instance.
type record struct {
	last  cicadaseam.Instance
	heard time.Time
	left  bool
}

// keeper orders the announcements of the instances at one address. It is a plain
// state machine.
type keeper struct {
	known map[string]*record
}

func newKeeper() keeper { return keeper{known: map[string]*record{}} }

// announce judges an announcement while current is the id of the instance in use.
func (k *keeper) announce(now time.Time, current string, x cicadaseam.Instance) verdict {
	r := k.known[x.ID]
	if r == nil {
		return k.first(now, current, x)
	}
	if restarted := x.StartUnixMilli > r.last.StartUnixMilli && r.last.StartUnixMilli > 0; restarted {
		// The instance started again under its id and knows nothing of before.
		k.known[x.ID] = &record{last: x, heard: now}
		return verdictNew
	}
	if !x.Newer(&r.last) || r.left && x.State == cicadaseam.BackendReady {
		return verdictStale
	}
	r.last = x
	r.heard = now
	r.left = r.left || x.State == cicadaseam.BackendDraining
	if x.ID == current {
		return verdictRenewed
	}
	if c := k.known[current]; c != nil && now.Sub(c.heard) < silentFor {
		return verdictStale
	}
	return verdictNew
}

// first judges the first announcement of an id. One that was born before the
// instance in use is a late one.
func (k *keeper) first(now time.Time, current string, x cicadaseam.Instance) verdict {
	k.makeRoom(current)
	k.known[x.ID] = &record{last: x, heard: now, left: x.State == cicadaseam.BackendDraining}
	c := k.known[current]
	if c != nil && current != x.ID && x.StartUnixMilli > 0 && c.last.StartUnixMilli > x.StartUnixMilli {
		return verdictStale
	}
	return verdictNew
}

// leave notes that an instance left.
func (k *keeper) leave(now time.Time, id string) {
	r := k.known[id]
	if r == nil {
		k.makeRoom("")
		r = &record{last: cicadaseam.Instance{ID: id}, heard: now}
		k.known[id] = r
	}
	r.left = true
}

func (k *keeper) leftIDs() []string {
	var ids []string
	for id, r := range k.known {
		if r.left {
			ids = append(ids, id)
		}
	}
	return ids
}

// makeRoom forgets the instance that was heard longest ago.
func (k *keeper) makeRoom(current string) {
	if len(k.known) < maxKnown {
		return
	}
	oldest := ""
	for id, r := range k.known {
		if id != current && (oldest == "" || r.heard.Before(k.known[oldest].heard)) {
			oldest = id
		}
	}
	delete(k.known, oldest)
}
