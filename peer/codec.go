package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// codec is the CBOR codec of all calls.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// newCodec returns the codec. The limits bound the memory that a malformed message can claim.
func newCodec() (codec, error) {
	encoder, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return codec{}, fmt.Errorf("CBOR encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		return codec{}, fmt.Errorf("CBOR decoder: %w", err)
	}
	return codec{encoder, decoder}, nil
}

// Name returns the name of the codec in the content type.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (c codec) Marshal(message any) ([]byte, error) { return c.encoder.Marshal(message) }

// Unmarshal decodes a message.
func (c codec) Unmarshal(data []byte, message any) error { return c.decoder.Unmarshal(data, message) }
