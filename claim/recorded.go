package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch/objects"
)

// Recorded is the recorded answer of an earlier attempt with the same key.
type Recorded struct{ Answer Answer }

// recorded returns the answer of a record in the state done, which is in the record itself or in an object.
func (l *Ledger) recorded(ctx context.Context, r record) (*Recorded, error) {
	w := r.Answer
	if r.Object != "" {
		data, err := l.getObject(ctx, r.Object)
		if errors.Is(err, objects.ErrNotFound) {
			return nil, unreadable(err)
		}
		if err != nil {
			return nil, unavailable(err)
		}
		if digest(data) != r.Digest {
			return nil, unreadable(errors.New("digest of the recorded answer does not match the claim row"))
		}
		if err := json.Unmarshal(data, &w); err != nil {
			return nil, unreadable(fmt.Errorf("decode the recorded answer: %w", err))
		}
	}
	if w == nil {
		return nil, unreadable(errors.New("claim row has no answer"))
	}
	return &Recorded{Answer: Answer{Status: w.Status, Header: w.Header, Body: w.Body}}, nil
}
