package engine

import (
	"container/list"

	"github.com/poplarwinch/poplarwinch"
)

// memory accounts for KV memory in tokens: memory held by requests, reservations and exports, and the prefix
// cache, whose unpinned blocks are evicted in LRU order when memory is needed.
type memory struct {
	capacity    poplarwinch.Tokens
	held        poplarwinch.Tokens
	blockTokens poplarwinch.Tokens
	blocks      map[uint64]*block
	// order has the most recently used block at the front.
	order  *list.List
	pinned int
	// evicted collects removed blocks until the scheduler publishes them.
	evicted []*block
}

// block is a cached prefix block.
type block struct {
	hash    uint64
	model   string
	pins    int
	element *list.Element
}

func newMemory(capacity, blockTokens poplarwinch.Tokens) *memory {
	return &memory{capacity: capacity, blockTokens: blockTokens, blocks: map[uint64]*block{}, order: list.New()}
}

// used is the memory that eviction cannot free.
func (m *memory) used() poplarwinch.Tokens {
	return m.held + poplarwinch.Tokens(m.pinned)*m.blockTokens
}

func (m *memory) cached() poplarwinch.Tokens {
	return poplarwinch.Tokens(len(m.blocks)) * m.blockTokens
}

// allocate holds n tokens, evicting blocks if needed, or reports that they do not fit.
func (m *memory) allocate(n poplarwinch.Tokens) bool {
	if m.used()+n > m.capacity {
		return false
	}
	for e := m.order.Back(); e != nil && m.held+m.cached()+n > m.capacity; {
		previous := e.Prev()
		if b := e.Value.(*block); b.pins == 0 {
			m.order.Remove(e)
			delete(m.blocks, b.hash)
			m.evicted = append(m.evicted, b)
		}
		e = previous
	}
	m.held += n
	return true
}

// free returns n held tokens.
func (m *memory) free(n poplarwinch.Tokens) { m.held -= n }

// pin protects the cached prefix of hashes from eviction and returns its blocks.
func (m *memory) pin(hashes []uint64) []*block {
	var found []*block
	for _, h := range hashes {
		b := m.blocks[h]
		if b == nil {
			break
		}
		found = append(found, b)
	}
	for _, b := range found {
		m.pinBlock(b)
	}
	m.touch(found)
	return found
}

func (m *memory) pinBlock(b *block) {
	if b.pins == 0 {
		m.pinned++
	}
	b.pins++
}

func (m *memory) unpin(blocks []*block) {
	for _, b := range blocks {
		b.pins--
		if b.pins == 0 {
			m.pinned--
		}
	}
}

// touch marks blocks as recently used. Later blocks of a prefix are useless without the earlier ones, so they
// count as older and are evicted first.
func (m *memory) touch(blocks []*block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		m.order.MoveToFront(blocks[i].element)
	}
}

// store adds an unpinned block whose memory the caller has given up just before.
func (m *memory) store(hash uint64, model string) *block {
	b := &block{hash: hash, model: model}
	b.element = m.order.PushFront(b)
	m.blocks[hash] = b
	return b
}
