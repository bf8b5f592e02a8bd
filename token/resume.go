// Package token signs the tokens with which a caller continues an interrupted stream through any instance.
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

// Resume names a stream on an engine and the customer that may read it.
type Resume struct {
	Customer     poplarwinch.CustomerID `json:"customer"`
	Request      poplarwinch.RequestID  `json:"request"`
	Upstream     poplarwinch.UpstreamID `json:"upstream"`
	Address      string                 `json:"address"`
	Stream       string                 `json:"stream"`
	IncludeUsage bool                   `json:"include-usage,omitempty"`
	// Expires is the request's deadline; the engine drops the stream soon after it.
	Expires clock.Millis `json:"expires"`
}

// Signer signs and checks resume tokens.
type Signer struct {
	key []byte
}

// NewSigner derives the signing key from the secret that the instances share.
func NewSigner(secret []byte) *Signer {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("poplarwinch resume token"))
	return &Signer{key: mac.Sum(nil)}
}

// Sign returns r as a token that fits into a header and a URL path.
func (s *Signer) Sign(r Resume) string {
	payload, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("resume token can't be encoded: %v", err))
	}
	encoded := base64.RawURLEncoding.EncodeToString(payload)
	return encoded + "." + base64.RawURLEncoding.EncodeToString(s.sum(encoded))
}

// Open checks token and returns its content. The caller checks customer and expiry.
func (s *Signer) Open(token string) (Resume, error) {
	var r Resume
	encoded, signature, ok := strings.Cut(token, ".")
	sum, err := base64.RawURLEncoding.DecodeString(signature)
	if !ok || err != nil || !hmac.Equal(sum, s.sum(encoded)) {
		return r, fmt.Errorf("the signature does not match")
	}
	payload, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return r, fmt.Errorf("the payload can't be decoded: %w", err)
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return r, fmt.Errorf("the payload can't be read: %w", err)
	}
	return r, nil
}

func (s *Signer) sum(encoded string) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(encoded))
	return mac.Sum(nil)
}
