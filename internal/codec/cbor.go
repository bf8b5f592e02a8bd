// Package codec encodes the messages between instances.
package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// CBOR is a codec with bounds against malformed messages. It satisfies connect.Codec.
type CBOR struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// NewCBOR returns the codec. The limits bound the memory that a malformed message can claim.
func NewCBOR() (CBOR, error) {
	encoder, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return CBOR{}, fmt.Errorf("CBOR encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		return CBOR{}, fmt.Errorf("CBOR decoder: %w", err)
	}
	return CBOR{encoder, decoder}, nil
}

// Name returns the name of the codec in the content type.
func (CBOR) Name() string { return "cbor" }

// Marshal encodes a message.
func (c CBOR) Marshal(message any) ([]byte, error) { return c.encoder.Marshal(message) }

// Unmarshal decodes a message.
func (c CBOR) Unmarshal(data []byte, message any) error { return c.decoder.Unmarshal(data, message) }
