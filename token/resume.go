// Package token signs and verifies the tokens with which a caller resumes an interrupted stream through any instance.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Resume identifies a stream on an engine and the customer that may read it.
type Resume struct {
	Customer     poplarwinch.CustomerID `json:"customer"`
	Request      poplarwinch.RequestID  `json:"request"`
	Upstream     poplarwinch.UpstreamID `json:"upstream"`
	Address      string                 `json:"address"`
	Stream       string                 `json:"stream"`
	IncludeUsage bool                   `json:"include-usage,omitempty"`
	// Expires is the deadline of the request; the engine discards the stream soon after it.
	Expires clock.Millis `json:"expires"`
}

// Signer signs and verifies resume tokens.
type Signer struct {
	key []byte
}

// NewSigner returns a signer with a key derived from the secret that the instances share.
func NewSigner(secret []byte) *Signer {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("poplarwinch resume token"))
	return &Signer{key: mac.Sum(nil)}
}

// Sign returns r as a signed token that may be used in a header and a URL path.
func (s *Signer) Sign(r Resume) string {
	payload, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("marshal resume token: %v", err))
	}
	encoded := base64.RawURLEncoding.EncodeToString(payload)
	return encoded + "." + base64.RawURLEncoding.EncodeToString(s.sum(encoded))
}

// Verify checks the signature of token and returns the content. It leaves the checks of customer and expiry to its
// caller.
func (s *Signer) Verify(token string) (Resume, error) {
	var r Resume
	encoded, signature, ok := strings.Cut(token, ".")
	sum, err := base64.RawURLEncoding.DecodeString(signature)
	if !ok || err != nil || !hmac.Equal(sum, s.sum(encoded)) {
		return r, fmt.Errorf("signature of the resume token does not match")
	}
	payload, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return r, fmt.Errorf("decode resume token: %w", err)
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return r, fmt.Errorf("unmarshal resume token: %w", err)
	}
	return r, nil
}

func (s *Signer) sum(encoded string) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(encoded))
	return mac.Sum(nil)
}
