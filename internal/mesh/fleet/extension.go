package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
)

// extension is the extension of a full heartbeat. Nodes of releases that do not know it pass it on
// as it is.
type extension struct {
	Rollout *rollout.Report `msgpack:"r,omitempty"`
	Build   string          `msgpack:"b,omitempty"`
}

// appendExtension appends the extension of a heartbeat to its encoding, if it has one.
func appendExtension(body []byte, hb *Heartbeat) ([]byte, error) {
	if hb.Rollout == nil && hb.Build == "" {
		return body, nil
	}
	return pack.AppendExtension(body, &extension{Rollout: hb.Rollout, Build: hb.Build})
}

// decodeFull decodes a full heartbeat and its extension. An extension that cannot be decoded is
// left out.
func decodeFull(data []byte, hb *Heartbeat) error {
	var x extension
	err := pack.UnmarshalExtended(data, hb, &x)
	if errors.Is(err, pack.ErrExtension) {
		return nil
	}
	hb.Rollout, hb.Build = x.Rollout, x.Build
	return err
}

// rolloutSequence returns the sequence of the rollout report, or 0 without one.
func (hb *Heartbeat) rolloutSequence() uint64 {
	if hb.Rollout == nil {
		return 0
	}
	return hb.Rollout.Sequence
}
