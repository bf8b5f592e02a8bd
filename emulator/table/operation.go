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

// write is the input of PutItem, DeleteItem and of the members of TransactWriteItems.
type write struct {
	condition
	Item item
	Key  item
}

func (s *Server) putItem(in write) (any, *apiError) {
	return struct{}{}, s.apply(in.Item, in, func(v *history.View[item], key string) { v.Put(key, in.Item) })
}

func (s *Server) deleteItem(in write) (any, *apiError) {
	return struct{}{}, s.apply(in.Key, in, func(v *history.View[item], key string) { v.Delete(key) })
}

func (s *Server) apply(keyed item, in write, effect func(*history.View[item], string)) *apiError {
	key, err := keyed.key()
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
			err = conditionFailed()
			return
		}
		effect(v, key)
	})
	return err
}
