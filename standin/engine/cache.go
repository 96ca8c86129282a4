package engine

import "container/list"

// prefixCache holds the hashes of cached blocks; the block used longest ago is evicted first.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	imports  map[string]bool
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}, imports: map[string]bool{}}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		element, found := c.blocks[b]
		if !found {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

func (c *prefixCache) store(blocks []uint64) {
	for _, b := range blocks {
		if element, found := c.blocks[b]; found {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}

// takeImport uses up an imported KV cache.
func (c *prefixCache) takeImport(handle string) bool {
	found := c.imports[handle]
	delete(c.imports, handle)
	return found
}
