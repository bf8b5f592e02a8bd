package table

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/poplarwinch/poplarwinch/emulator/history"
)

type transactInput struct {
	ClientRequestToken string
	TransactItems      []struct {
		Put            *write
		Delete         *write
		ConditionCheck *write
	}
}

// step is one parsed member of a transaction.
type step struct {
	key    string
	holds  func(item) bool
	effect func(*history.View[item])
}

func (s *Server) transactWriteItems(in transactInput) (any, *apiError) {
	steps, err := in.steps()
	if err != nil {
		return nil, err
	}
	canonical, encodeErr := json.Marshal(in)
	if encodeErr != nil {
		return nil, failure("SerializationException", encodeErr.Error())
	}
	digest := sha256.Sum256(canonical)
	s.items.Do(func(v *history.View[item]) {
		repeated, mismatch := s.tokens.check(in.ClientRequestToken, digest)
		if mismatch {
			err = failure("IdempotentParameterMismatchException", "the token was used for another request")
		}
		if repeated || mismatch {
			return
		}
		if err = check(v, steps); err != nil {
			return
		}
		for _, t := range steps {
			t.effect(v)
		}
		s.tokens.add(in.ClientRequestToken, digest)
	})
	return struct{}{}, err
}

func (in transactInput) steps() ([]step, *apiError) {
	var steps []step
	keys := map[string]bool{}
	for _, member := range in.TransactItems {
		var w *write
		var keyed item
		var effect func(*history.View[item], string)
		switch {
		case member.Put != nil:
			w, keyed = member.Put, member.Put.Item
			effect = func(v *history.View[item], key string) { v.Put(key, keyed) }
		case member.Delete != nil:
			w, keyed = member.Delete, member.Delete.Key
			effect = func(v *history.View[item], key string) { v.Delete(key) }
		case member.ConditionCheck != nil:
			w, keyed = member.ConditionCheck, member.ConditionCheck.Key
			effect = func(*history.View[item], string) {}
		default:
			return nil, validation("a member of the transaction is not supported")
		}
		key, err := keyed.key()
		if err != nil {
			return nil, err
		}
		if keys[key] {
			return nil, validation("transaction has several operations on one item")
		}
		keys[key] = true
		holds, err := w.parse()
		if err != nil {
			return nil, err
		}
		steps = append(steps, step{key: key, holds: holds, effect: func(v *history.View[item]) { effect(v, key) }})
	}
	return steps, nil
}

func check(v *history.View[item], steps []step) *apiError {
	err := failure("TransactionCanceledException", "Transaction cancelled")
	failed := false
	for _, t := range steps {
		current, _ := v.Get(t.key)
		reason := cancellationReason{Code: "None"}
		if !t.holds(current) {
			reason.Code = "ConditionalCheckFailed"
			failed = true
		}
		err.Reasons = append(err.Reasons, reason)
	}
	if !failed {
		return nil
	}
	return err
}
