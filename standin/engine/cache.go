package engine

import (
	"container/list"
	"time"

	"chestnutrudder.example/rudder/engine"
)

// eventHistory is the number of cache events that an engine keeps for readers.
const eventHistory = 8192

type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

// prefixCache holds the hashes of cached blocks; the block used longest ago is evicted first. Each change makes an event.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	imports  map[string]exported
	events   []cacheEvent
	sequence int64
	drop     int // number of coming events to lose
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}, imports: map[string]exported{}}
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
	var stored, evicted []uint64
	for _, b := range blocks {
		if element, found := c.blocks[b]; found {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		block := c.order.Remove(oldest).(uint64)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}
	c.record(true, stored)
	c.record(false, evicted)
}

// clear evicts everything, as a change of the model version does.
func (c *prefixCache) clear() {
	var evicted []uint64
	for b := range c.blocks {
		evicted = append(evicted, b)
	}
	c.order.Init()
	clear(c.blocks)
	clear(c.imports)
	c.record(false, evicted)
}

func (c *prefixCache) record(stored bool, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c.sequence++
	if c.drop > 0 {
		c.drop--
		return
	}
	c.events = append(c.events, cacheEvent{engine.CacheEvent{Sequence: c.sequence, Stored: stored, Blocks: blocks}, time.Now()})
	if len(c.events) > eventHistory {
		c.events = c.events[len(c.events)-eventHistory:]
	}
}

// eventsAfter returns the events after a sequence number that are at least delay old.
func (c *prefixCache) eventsAfter(after int64, delay time.Duration) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: after}
	for _, e := range c.events {
		if time.Since(e.at) < delay {
			break
		}
		if e.Sequence > after {
			page.Events = append(page.Events, e.CacheEvent)
			page.Next = e.Sequence
		}
	}
	return page
}

// takeImport uses up an imported KV cache and returns the number of tokens that it covers; 0 if it is unknown or belongs
// to another prompt.
func (c *prefixCache) takeImport(handle, prompt string) int {
	e, found := c.imports[handle]
	if !found || e.Prompt != PromptHash(prompt) {
		return 0
	}
	delete(c.imports, handle)
	return e.Tokens
}
