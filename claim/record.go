package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// record is the body of a claim row.
type record struct {
	Fingerprint string              `json:"fingerprint"`
	Started     clock.Millis        `json:"started-ms"`
	Outcome     poplarwinch.Outcome `json:"outcome,omitempty"`
	Answer      *storedAnswer       `json:"answer,omitempty"`
	// Object is the key of the object that stores the answer, if it is too large for the row.
	Object string `json:"object,omitempty"`
	// Digest is the SHA-256 of the object in hex.
	Digest string `json:"digest,omitempty"`
}

// storedAnswer is the encoding of an answer in a row or an object.
type storedAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// encode returns r as JSON. Encoding cannot fail, as r consists of strings, numbers and bytes.
func (r record) encode() []byte { return encode(r) }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// parseRecord decodes the body of a claim row and checks the row's state.
func parseRecord(row table.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Body, &r); err != nil {
		return record{}, fmt.Errorf("decode the claim row: %w", err)
	}
	switch row.State {
	case stateSending, stateDone, stateClosed:
		return r, nil
	}
	return record{}, fmt.Errorf("claim row has the unknown state %q", row.State)
}

// digest returns the SHA-256 of data in hex.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
