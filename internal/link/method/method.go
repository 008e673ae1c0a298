// Package method defines the numbers of the requests between nodes and encodes the payloads of
// requests and answers.
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

// Numbers of the requests between nodes. The number of a removed request is never reused.
const (
	// Call runs a cicadaseam.Call at the backend server of the peer.
	Call uint8 = 1
	// Resolve asks for the outcome of an attempt. Unless the request says otherwise, the peer
	// voids an attempt that has not started.
	Resolve uint8 = 2
	// Join sends the member record of the requesting node and returns all members.
	Join uint8 = 3
	// ZoneSync exchanges the members of one availability zone.
	ZoneSync uint8 = 4
	// Push sends new records of the configuration.
	Push uint8 = 5
	// Fetch returns records or a snapshot of the configuration.
	Fetch uint8 = 6
	// Claim asks the writer of a ledger shard to claim an idempotency key or to void an
	// attempt.
	Claim uint8 = 7
	// Burn returns the counts for service-level objectives that the peer keeps.
	Burn uint8 = 9
	// Status returns the version of the peer's configuration and its position in the log.
	Status uint8 = 10
	// MeshCall runs a cicadaseam.MeshCall at the backend server of the peer.
	MeshCall uint8 = 11
	// Document returns what changed in the routing configuration since a revision, or the
	// complete current revision.
	Document uint8 = 12
	// Departed returns the instances at an address that the peer has recorded as departed.
	Departed uint8 = 13
	// Proof returns the revision in force at the peer and the age of its proof that its keys are
	// current.
	Proof uint8 = 14
	// Token asks the owner of a customer's quota for tokens.
	Token uint8 = 15
	// Suspicions returns the requests that may crash backend servers, as the peer knows them.
	Suspicions uint8 = 16
)

// Names maps the numbers of the requests to their names in metrics and logs.
var Names = map[uint8]string{
	Call: "call", Resolve: "resolve", Join: "join", ZoneSync: "zone",
	Push: "push", Fetch: "fetch", Claim: "claim", Burn: "burn",
	Status: "status", MeshCall: "run", Document: "document", Departed: "recall", Proof: "proof",
	Token: "token", Suspicions: "suspicions",
}

// Encode returns the encoded message.
func Encode(message any) ([]byte, error) {
	data, err := pack.Marshal(message)
	return data, errors.Wrapf(err, "encode %T", message)
}

// Decode decodes a payload into message, which is a pointer.
func Decode(payload []byte, message any) error {
	return errors.Wrapf(pack.Unmarshal(payload, message), "decode %T", message)
}

// EncodeParts returns the message encoded into parts that follow each other. Long bytes in it are not
// copied, so they must not change any more.
func EncodeParts(message any) ([][]byte, error) {
	parts, err := pack.MarshalParts(message)
	return parts, errors.Wrapf(err, "encode %T", message)
}

// DecodeShared decodes a payload into message, which is a pointer. shared is its only field that holds
// bytes. If they are long, it shares the memory of the payload.
func DecodeShared(payload []byte, message any, shared *[]byte) error {
	return errors.Wrapf(pack.UnmarshalShared(payload, message, shared), "decode %T", message)
}
