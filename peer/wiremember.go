package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/membership"
)

// wireMember is the encoding of a member record. Integer keys make it small and allow later versions to add fields.
type wireMember struct {
	ID              poplarwinch.InstanceID    `cbor:"1,keyasint"`
	Address         string                    `cbor:"2,keyasint"`
	FailureDomain   poplarwinch.FailureDomain `cbor:"3,keyasint"`
	Incarnation     uint64                    `cbor:"4,keyasint"`
	State           membership.State          `cbor:"5,keyasint"`
	ManifestVersion uint64                    `cbor:"6,keyasint,omitempty"`
	ManifestDigest  string                    `cbor:"7,keyasint,omitempty"`
}

// wireMessage is the encoding of a membership message.
type wireMessage struct {
	From          wireMember   `cbor:"1,keyasint"`
	Epoch         uint64       `cbor:"2,keyasint"`
	Sequence      uint64       `cbor:"3,keyasint"`
	AfterEpoch    uint64       `cbor:"4,keyasint,omitempty"`
	AfterSequence uint64       `cbor:"5,keyasint,omitempty"`
	Records       []wireMember `cbor:"6,keyasint,omitempty"`
	Contacts      []wireMember `cbor:"7,keyasint,omitempty"`
	LiveHash      uint64       `cbor:"8,keyasint,omitempty"`
}

func encodeMessage(m membership.Message) wireMessage {
	return wireMessage{
		From: wireMember(m.From), Epoch: m.Epoch, Sequence: m.Sequence, LiveHash: m.LiveHash,
		AfterEpoch: m.After.Epoch, AfterSequence: m.After.Sequence,
		Records: encodeMembers(m.Records), Contacts: encodeMembers(m.Contacts),
	}
}

func (w wireMessage) decode() membership.Message {
	return membership.Message{
		From: membership.Member(w.From), Epoch: w.Epoch, Sequence: w.Sequence, LiveHash: w.LiveHash,
		After:   membership.Cursor{Epoch: w.AfterEpoch, Sequence: w.AfterSequence},
		Records: decodeMembers(w.Records), Contacts: decodeMembers(w.Contacts),
	}
}

func encodeMembers(members []membership.Member) []wireMember {
	var list []wireMember
	for _, m := range members {
		list = append(list, wireMember(m))
	}
	return list
}

func decodeMembers(list []wireMember) []membership.Member {
	var members []membership.Member
	for _, w := range list {
		members = append(members, membership.Member(w))
	}
	return members
}
