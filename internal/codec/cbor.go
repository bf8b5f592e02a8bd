// Package codec encodes and decodes the messages between instances.
package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// CBOR is a CBOR codec with limits on decoded messages. It implements connect.Codec.
type CBOR struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// NewCBOR returns the codec. Its limits bound the memory that decoding a malformed message can allocate.
func NewCBOR() (CBOR, error) {
	encoder, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return CBOR{}, fmt.Errorf("create the CBOR encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		return CBOR{}, fmt.Errorf("create the CBOR decoder: %w", err)
	}
	return CBOR{encoder, decoder}, nil
}

// Name returns the name of the codec, which is part of the content type.
func (CBOR) Name() string { return "cbor" }

// Marshal encodes a message.
func (c CBOR) Marshal(message any) ([]byte, error) { return c.encoder.Marshal(message) }

// Unmarshal decodes a message.
func (c CBOR) Unmarshal(data []byte, message any) error { return c.decoder.Unmarshal(data, message) }
