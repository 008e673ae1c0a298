// Package method numbers the requests between nodes and encodes their
// messages.
//
// # Usage
//
//	payload, err := method.Encode(&request)
//	data, err := pool.Request(ctx, addr, method.Push, payload)
//	err = method.Decode(data, &answer)
package method

import (
	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// The requests between nodes. A number is never used again for another
// request.
const (
	// Call runs a call at the backend server of the peer.
	Call uint8 = 1
	// Resolve asks what became of an attempt, and voids it if it has not
	// started.
	Resolve uint8 = 2
	// Join hands over the own member record and returns all members.
	Join uint8 = 3
	// Zone exchanges the members of one availability zone.
	ZoneSync uint8 = 4
	// Push hands over new records of the configuration.
	Push uint8 = 5
	// Fetch asks for records or a snapshot of the configuration.
	Fetch uint8 = 6
	// Claim asks a shard writer to claim a key or to void an attempt.
	Claim uint8 = 7
	// Burn asks for the service-level counts of the peer.
	Burn uint8 = 9
	// Status asks how far the configuration of the peer is.
	Status uint8 = 10
	// Run runs a request of a mesh route at the backend server of the peer.
	MeshCall uint8 = 11
	// Document asks for the configuration document in force.
	Document uint8 = 12
	// Recall asks which instances at an address were heard to leave.
	Departed uint8 = 13
)

// Names are the names of the requests for metrics and logs.
var Names = map[uint8]string{
	Call: "call", Resolve: "resolve", Join: "join", ZoneSync: "zone",
	Push: "push", Fetch: "fetch", Claim: "claim", Burn: "burn",
	Status: "status", MeshCall: "run", Document: "document", Departed: "recall",
}

// Encode returns the payload of a message.
func Encode(message any) ([]byte, error) {
	data, err := pack.Marshal(message)
	return data, errors.Wrapf(err, "encode %T", message)
}

// Decode fills a message from a payload.
func Decode(payload []byte, message any) error {
	return errors.Wrapf(pack.Unmarshal(payload, message), "decode %T", message)
}
