package detect

import (
	"fmt"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// Format is the number of the packet format.
const Format = 2

// MaxPacket bounds an encoded packet in bytes: one Ethernet frame.
const MaxPacketBytes = 1400

// Kind is the kind of a packet.
type Kind uint8

// The kinds of packets.
const (
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to probe Subject.
	PingRequest
	// NotMe answers a ping for an id that no longer lives at the address.
	IDMismatch
	// Spread carries updates and marks and is not answered.
	Gossip
)

// ZoneDigest is a digest of the live members of one availability zone.
type ZoneDigest struct {
	Zone   string `msgpack:"z"`
	Digest uint64 `msgpack:"d"`
}

// Packet is one datagram between nodes.
type Packet struct {
	Kind     Kind
	Seq      uint64
	From     string
	FromAddr string
	// To is the id that the sender means.
	To string
	// Subject is the address to probe for a PingRequest.
	ProbeAddr    string
	ConfigStatus cicadaseam.ConfigStatus
	ZoneDigests  []ZoneDigest
	Updates      []cicadaseam.Member
	Marks        []cicadaseam.CrashMark
}

// DecodeError reports bytes that are no packet.
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string { return "packet does not decode: " + e.Reason }

// Encode returns the datagram of a packet.
func Encode(p *Packet) ([]byte, error) {
	body, err := pack.Marshal(p)
	if err != nil {
		return nil, err
	}
	return append([]byte{Format}, body...), nil
}

// Decode returns the packet in a datagram.
func Decode(data []byte) (*Packet, error) {
	if len(data) == 0 || data[0] != Format {
		return nil, &DecodeError{Reason: "unknown format"}
	}
	var p Packet
	if err := pack.Unmarshal(data[1:], &p); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if p.From == "" || p.Kind < Ping || p.Kind > Gossip {
		return nil, &DecodeError{Reason: fmt.Sprintf("kind %d from %q", p.Kind, p.From)}
	}
	return &p, nil
}
