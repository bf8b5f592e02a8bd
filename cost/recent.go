package cost

// recent is a map of bounded size whose least recently used entry is dropped first.
type recent[K comparable, V any] struct {
	limit   int
	index   map[K]int32
	entries []entry[K, V]
	// newest and oldest are the ends of the list of entries by their latest use; none if it is empty.
	newest, oldest int32
}

type entry[K comparable, V any] struct {
	key          K
	newer, older int32
	value        V
}

// none is the index of no entry.
const none int32 = -1

func newRecent[K comparable, V any](limit int) *recent[K, V] {
	return &recent[K, V]{limit: limit, index: map[K]int32{}, newest: none, oldest: none}
}

// get returns the value of the key as its latest use, or nil. It is valid until the next call of add.
func (r *recent[K, V]) get(key K) *V {
	i, ok := r.index[key]
	if !ok {
		return nil
	}
	r.use(i)
	return &r.entries[i].value
}

// add is get with a zero value for a key that is missing.
func (r *recent[K, V]) add(key K) *V {
	if value := r.get(key); value != nil {
		return value
	}
	i := int32(len(r.entries))
	if len(r.entries) < r.limit {
		r.entries = append(r.entries, entry[K, V]{})
	} else {
		i = r.oldest
		r.unlink(i)
		delete(r.index, r.entries[i].key)
	}
	r.entries[i] = entry[K, V]{key: key}
	r.index[key] = i
	r.link(i)
	return &r.entries[i].value
}

func (r *recent[K, V]) use(i int32) {
	if i != r.newest {
		r.unlink(i)
		r.link(i)
	}
}

func (r *recent[K, V]) link(i int32) {
	r.entries[i].newer, r.entries[i].older = none, r.newest
	if r.newest != none {
		r.entries[r.newest].newer = i
	} else {
		r.oldest = i
	}
	r.newest = i
}

func (r *recent[K, V]) unlink(i int32) {
	e := &r.entries[i]
	if e.newer != none {
		r.entries[e.newer].older = e.older
	} else {
		r.newest = e.older
	}
	if e.older != none {
		r.entries[e.older].newer = e.newer
	} else {
		r.oldest = e.newer
	}
}
