package engine

import (
	"container/list"

	"github.com/poplarwinch/poplarwinch"
)

// kvMemory accounts for KV memory in tokens: memory allocated to requests, reservations and exports, and the prefix
// cache, whose unpinned blocks are evicted in LRU order when memory is needed.
type kvMemory struct {
	capacity    poplarwinch.Tokens
	allocated   poplarwinch.Tokens
	blockTokens poplarwinch.Tokens
	blocks      map[uint64]*block
	// lru has the most recently used block at the front.
	lru          *list.List
	pinnedBlocks int
	// evicted collects evicted blocks until their events are published.
	evicted []*block
}

// block is a block of the prefix cache.
type block struct {
	hash     uint64
	model    string
	pinCount int
	element  *list.Element
}

func newKVMemory(capacity, blockTokens poplarwinch.Tokens) *kvMemory {
	return &kvMemory{capacity: capacity, blockTokens: blockTokens, blocks: map[uint64]*block{}, lru: list.New()}
}

// used returns the memory that eviction cannot free.
func (m *kvMemory) used() poplarwinch.Tokens {
	return m.allocated + poplarwinch.Tokens(m.pinnedBlocks)*m.blockTokens
}

func (m *kvMemory) cached() poplarwinch.Tokens {
	return poplarwinch.Tokens(len(m.blocks)) * m.blockTokens
}

// allocate allocates n tokens, evicting blocks if needed. It returns false if they do not fit.
func (m *kvMemory) allocate(n poplarwinch.Tokens) bool {
	if m.used()+n > m.capacity {
		return false
	}
	for e := m.lru.Back(); e != nil && m.allocated+m.cached()+n > m.capacity; {
		previous := e.Prev()
		if b := e.Value.(*block); b.pinCount == 0 {
			m.lru.Remove(e)
			delete(m.blocks, b.hash)
			m.evicted = append(m.evicted, b)
		}
		e = previous
	}
	m.allocated += n
	return true
}

// free frees n allocated tokens.
func (m *kvMemory) free(n poplarwinch.Tokens) { m.allocated -= n }

// pin protects the longest cached prefix of hashes from eviction and returns its blocks.
func (m *kvMemory) pin(hashes []uint64) []*block {
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

func (m *kvMemory) pinBlock(b *block) {
	if b.pinCount == 0 {
		m.pinnedBlocks++
	}
	b.pinCount++
}

func (m *kvMemory) unpin(blocks []*block) {
	for _, b := range blocks {
		b.pinCount--
		if b.pinCount == 0 {
			m.pinnedBlocks--
		}
	}
}

// touch marks blocks as recently used. The later blocks of a prefix cannot be used without the earlier ones, so they
// count as older and are evicted first.
func (m *kvMemory) touch(blocks []*block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		m.lru.MoveToFront(blocks[i].element)
	}
}

// insert adds an unpinned block. The caller must have freed the memory for it.
func (m *kvMemory) insert(hash uint64, model string) *block {
	b := &block{hash: hash, model: model}
	b.element = m.lru.PushFront(b)
	m.blocks[hash] = b
	return b
}
