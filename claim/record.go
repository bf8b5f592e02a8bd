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

// record is the body of a row.
type record struct {
	Fingerprint string              `json:"fingerprint"`
	Started     clock.Millis        `json:"started-ms"`
	Outcome     poplarwinch.Outcome `json:"outcome,omitempty"`
	Answer      *wireAnswer         `json:"answer,omitempty"`
	// Object is the key of the object that holds the answer, Digest its SHA-256 in hex.
	Object string `json:"object,omitempty"`
	Digest string `json:"digest,omitempty"`
}

type wireAnswer struct {
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

func parseRecord(row table.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Body, &r); err != nil {
		return record{}, fmt.Errorf("claim row is not valid: %w", err)
	}
	switch row.State {
	case stateSending, stateDone, stateClosed:
		return r, nil
	}
	return record{}, fmt.Errorf("claim row has the unknown state %q", row.State)
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
