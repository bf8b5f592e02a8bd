package table

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/poplarwinch/poplarwinch/emulator/history"
)

type transactInput struct {
	ClientRequestToken string
	TransactItems      []struct {
		Put            *writeInput
		Delete         *writeInput
		ConditionCheck *writeInput
	}
}

// action is one parsed operation of a transaction.
type action struct {
	key    string
	holds  func(item) bool
	effect func(*history.View[item])
}

func (s *Server) transactWriteItems(in transactInput) (any, *apiError) {
	actions, err := in.actions()
	if err != nil {
		return nil, err
	}
	canonical, encodeErr := json.Marshal(in)
	if encodeErr != nil {
		return nil, newAPIError("SerializationException", encodeErr.Error())
	}
	digest := sha256.Sum256(canonical)
	s.items.Do(func(v *history.View[item]) {
		repeated, mismatch := s.requestTokens.check(in.ClientRequestToken, digest)
		if mismatch {
			err = newAPIError("IdempotentParameterMismatchException", "the token was used for another request")
		}
		if repeated || mismatch {
			return
		}
		if err = check(v, actions); err != nil {
			return
		}
		for _, t := range actions {
			t.effect(v)
		}
		s.requestTokens.add(in.ClientRequestToken, digest)
	})
	return struct{}{}, err
}

func (in transactInput) actions() ([]action, *apiError) {
	var actions []action
	keys := map[string]bool{}
	for _, member := range in.TransactItems {
		var w *writeInput
		var keyItem item
		var effect func(*history.View[item], string)
		switch {
		case member.Put != nil:
			w, keyItem = member.Put, member.Put.Item
			effect = func(v *history.View[item], key string) { v.Put(key, keyItem) }
		case member.Delete != nil:
			w, keyItem = member.Delete, member.Delete.Key
			effect = func(v *history.View[item], key string) { v.Delete(key) }
		case member.ConditionCheck != nil:
			w, keyItem = member.ConditionCheck, member.ConditionCheck.Key
			effect = func(*history.View[item], string) {}
		default:
			return nil, validationError("a member of the transaction is not supported")
		}
		key, err := keyItem.key()
		if err != nil {
			return nil, err
		}
		if keys[key] {
			return nil, validationError("transaction has several operations on one item")
		}
		keys[key] = true
		holds, err := w.parse()
		if err != nil {
			return nil, err
		}
		actions = append(actions, action{key: key, holds: holds, effect: func(v *history.View[item]) { effect(v, key) }})
	}
	return actions, nil
}

func check(v *history.View[item], actions []action) *apiError {
	err := newAPIError("TransactionCanceledException", "Transaction cancelled")
	failed := false
	for _, t := range actions {
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
