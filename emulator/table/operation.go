package table

import "github.com/poplarwinch/poplarwinch/emulator/history"

type getInput struct {
	Key            item
	ConsistentRead bool
}

type getOutput struct {
	Item item `json:"Item,omitempty"`
}

func (s *Server) getItem(in getInput) (any, *apiError) {
	key, err := in.Key.key()
	if err != nil {
		return nil, err
	}
	var out getOutput
	s.items.Do(func(v *history.View[item]) {
		if in.ConsistentRead {
			out.Item, _ = v.Get(key)
		} else {
			out.Item, _ = v.At(key, s.clock.Now()-s.gate.Stale())
		}
	})
	return out, nil
}

// writeInput is the input of PutItem, DeleteItem and the actions of TransactWriteItems.
type writeInput struct {
	condition
	Item item
	Key  item
}

func (s *Server) putItem(in writeInput) (any, *apiError) {
	return struct{}{}, s.conditionalWrite(in.Item, in, func(v *history.View[item], key string) { v.Put(key, in.Item) })
}

func (s *Server) deleteItem(in writeInput) (any, *apiError) {
	return struct{}{}, s.conditionalWrite(in.Key, in, func(v *history.View[item], key string) { v.Delete(key) })
}

func (s *Server) conditionalWrite(keyItem item, in writeInput, effect func(*history.View[item], string)) *apiError {
	key, err := keyItem.key()
	if err != nil {
		return err
	}
	holds, err := in.parse()
	if err != nil {
		return err
	}
	s.items.Do(func(v *history.View[item]) {
		current, _ := v.Get(key)
		if !holds(current) {
			err = conditionFailedError()
			return
		}
		effect(v, key)
	})
	return err
}
