package engine

import (
	"container/list"
	"time"

	"chestnutrudder.example/rudder/engine"
)

// maxCacheEvents is how many cache events an engine keeps for its clients.
const maxCacheEvents = 8192

type cacheEvent struct {
	engine.CacheEvent
	recordedAt time.Time
}

// prefixCache is an LRU cache of block hashes that records an event for each change. It is not safe for concurrent use.
type prefixCache struct {
	maxBlocks    int
	lru          *list.List // block hashes, the most recently used first
	blocks       map[uint64]*list.Element
	imports      map[string]exportedKV // by handle
	events       []cacheEvent
	sequence     int64 // number of the last event
	eventsToDrop int   // number of next events to drop
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, lru: list.New(), blocks: map[uint64]*list.Element{}, imports: map[string]exportedKV{}}
}

// matchPrefix returns the number of leading blocks that are cached, and marks these as recently used.
func (c *prefixCache) matchPrefix(blocks []uint64) int {
	for i, b := range blocks {
		element, found := c.blocks[b]
		if !found {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(blocks)
}

// store adds blocks, or marks them as recently used, and evicts the least recently used blocks over maxBlocks.
func (c *prefixCache) store(blocks []uint64) {
	var stored, evicted []uint64
	for _, b := range blocks {
		if element, found := c.blocks[b]; found {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		stored = append(stored, b)
	}
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Back()
		block := c.lru.Remove(oldest).(uint64)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}
	c.recordEvent(true, stored)
	c.recordEvent(false, evicted)
}

// clear evicts all blocks and imports: after a change of the model version they are invalid.
func (c *prefixCache) clear() {
	var evicted []uint64
	for b := range c.blocks {
		evicted = append(evicted, b)
	}
	c.lru.Init()
	clear(c.blocks)
	clear(c.imports)
	c.recordEvent(false, evicted)
}

// recordEvent records an event for stored or evicted blocks. A dropped event also takes a sequence number, so that clients
// see a gap.
func (c *prefixCache) recordEvent(stored bool, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c.sequence++
	if c.eventsToDrop > 0 {
		c.eventsToDrop--
		return
	}
	c.events = append(c.events, cacheEvent{engine.CacheEvent{Sequence: c.sequence, Stored: stored, Blocks: blocks}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events that have a sequence number greater than after and are at least delay old.
func (c *prefixCache) eventsAfter(after int64, delay time.Duration) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: after}
	for _, event := range c.events {
		if time.Since(event.recordedAt) < delay {
			break
		}
		if event.Sequence > after {
			page.Events = append(page.Events, event.CacheEvent)
			page.Next = event.Sequence
		}
	}
	return page
}

// consumeImport deletes an imported KV cache and returns the number of tokens that it covers. It returns 0 and deletes
// nothing if the handle is unknown or the KV cache belongs to another prompt.
func (c *prefixCache) consumeImport(handle, prompt string) int {
	imported, found := c.imports[handle]
	if !found || imported.PromptHash != PromptHash(prompt) {
		return 0
	}
	delete(c.imports, handle)
	return imported.Tokens
}
