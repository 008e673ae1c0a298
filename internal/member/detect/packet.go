package detect

import (
	"fmt"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// Format is the version of the packet format, the first byte of a datagram.
const Format = 2

// MaxPacketBytes bounds an encoded packet, so that it fits in one Ethernet frame.
const MaxPacketBytes = 1400

// Kind is the kind of a packet.
type Kind uint8

// Kinds of packets.
const (
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to ping ProbeAddr on behalf of the sender.
	PingRequest
	// IDMismatch answers a ping for an id that is not the one of the process at the address.
	IDMismatch
	// Gossip carries updates and marks and is not answered.
	Gossip
)

// ZoneDigest is a digest of the members of one availability zone that are neither dead nor left.
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
	// To is the id of the receiver in a Ping or Gossip. Another process at the same address
	// answers a Ping with IDMismatch. In a PingRequest, To is the id of the process to ping, and
	// in an Ack or IDMismatch the id that was pinged.
	To string
	// ProbeAddr is the address to ping for a PingRequest.
	ProbeAddr    string
	ConfigStatus cicadaseam.ConfigStatus
	ZoneDigests  []ZoneDigest
	Updates      []cicadaseam.Member
	Marks        []cicadaseam.CrashMark
}

// DecodeError reports a datagram that does not hold a valid packet.
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string { return "packet does not decode: " + e.Reason }

// Encode returns a packet as a datagram.
func Encode(p *Packet) ([]byte, error) {
	body, err := pack.Marshal(p)
	if err != nil {
		return nil, err
	}
	return append([]byte{Format}, body...), nil
}

// Decode returns the packet of a datagram.
func Decode(data []byte) (*Packet, error) {
	if len(data) == 0 || data[0] != Format {
		return nil, &DecodeError{Reason: "unknown format"}
	}
	var p Packet
	if err := pack.Unmarshal(data[1:], &p); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	if p.From == "" || p.Kind < Ping || p.Kind > Gossip {
		return nil, &DecodeError{Reason: fmt.Sprintf("invalid kind %d or sender %q", p.Kind, p.From)}
	}
	return &p, nil
}
