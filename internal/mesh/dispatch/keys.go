package dispatch

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/keys"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

// outdatedRetryAfter is sent to a caller whose key cannot be checked now. A node that is connected
// gets a proof within that time.
const outdatedRetryAfter = 500 * time.Millisecond

// KeyProofs says what the age of the proof that the keys in force are current allows. A table
// that is read after Check must be that of the proof or a later one. Implementations are safe for
// concurrent use.
type KeyProofs interface {
	Check() keys.Check
}

// WithKeyProofs sets the proofs that keys are current. By default keys of the table in force are
// accepted regardless of its age.
func WithKeyProofs(p KeyProofs) Option { return func(d *Dispatcher) { d.keys = p } }

// alwaysCurrent is used where keys need no proof.
type alwaysCurrent struct{}

func (alwaysCurrent) Check() keys.Check { return keys.Check{Accept: true, Reject: true} }

// presentedKey is the key with which a request was admitted, as its hash.
type presentedKey struct {
	keyed   bool // false if the request was admitted without a key
	keyHash cicadaseam.KeyHash
	table   *route.Table // in which the key was found
}

func presentedKeyOf(r *Request, table *route.Table, customer *cicadaseam.Customer) presentedKey {
	if customer == nil {
		return presentedKey{}
	}
	hash, ok := route.PresentedKey(r.Header)
	return presentedKey{keyed: ok, keyHash: hash, table: table}
}

// checkKey returns why a request is not admitted on account of its key, or ReasonNone. customer is
// nil if the request needs no key, and valid is false if it needs one and has none that is known.
func (d *Dispatcher) checkKey(check keys.Check, r *Request, customer *cicadaseam.Customer, valid bool) cicadaseam.Reason {
	if valid {
		if customer == nil || check.Accept {
			return cicadaseam.ReasonNone
		}
		return cicadaseam.ReasonKeysOutdated
	}
	if _, present := route.PresentedKey(r.Header); present && !check.Reject {
		return cicadaseam.ReasonKeysOutdated // a later version may have the key
	}
	return cicadaseam.ReasonUnknownKey
}

// refuseKey returns the reply to a request that is not admitted on account of its key. The line
// in the log says whether the request had a key, and never which.
func (d *Dispatcher) refuseKey(r *Request, rt *cicadaseam.MeshRoute, reason cicadaseam.Reason, revision uint64) *Reply {
	status, after := http.StatusUnauthorized, time.Duration(0)
	switch {
	case reason == cicadaseam.ReasonKeysOutdated:
		status, after = http.StatusServiceUnavailable, outdatedRetryAfter
	case d.mayBeNested(r):
		status, after = http.StatusServiceUnavailable, noTargetRetryAfter
	}
	_, present := route.PresentedKey(r.Header)
	d.logger.Info("request refused", zap.String("request", r.Header.Get(d.Headers.RequestID)), zap.String("route", rt.Name),
		zap.String("reason", string(reason)), zap.Int("status", status), zap.Int("authorization-fields", len(r.Header.Values("Authorization"))), zap.Bool("key", present), zap.Uint64("revision", revision))
	if status == http.StatusUnauthorized {
		return &Reply{Status: status}
	}
	return d.refuse(nil, reason, after)
}

// recheckKey returns why a request that was admitted may not be sent to a target any more, or
// ReasonNone: the proof is too old by now, as after the machine was suspended, or its key was
// revoked since.
func (d *Dispatcher) recheckKey(ex *exchange) cicadaseam.Reason {
	if !ex.keyed {
		return cicadaseam.ReasonNone
	}
	if !d.keys.Check().Accept {
		return cicadaseam.ReasonKeysOutdated
	}
	if table := d.tables.Table(); table != ex.table && table != nil && !table.HasKey(ex.keyHash) {
		return cicadaseam.ReasonUnknownKey
	}
	return cicadaseam.ReasonNone
}
