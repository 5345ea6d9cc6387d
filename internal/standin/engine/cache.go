package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// keptEvents bounds how many cache events can still be asked for.
const keptEvents = 4096

// prefixCache holds the most recently used prompt prefixes and the events that
// tell of them. Guarded by the engine's lock.
type prefixCache struct {
	capacity int
	lag      time.Duration
	gap      float64
	random   *rand.Rand
	order    *list.List // of uint64, most recently used first
	entries  map[uint64]*list.Element
	seq      int64
	events   []timedEvent
}

type timedEvent struct {
	wire.CacheEvent
	visible time.Time
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity: o.PrefixCapacity,
		lag:      o.EventLag,
		gap:      o.EventGap,
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
		order:    list.New(),
		entries:  map[uint64]*list.Element{},
	}
}

// prefixOf names a prompt's prefix.
func prefixOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), wire.PrefixBytes)])
}

// touch says whether a prompt's prefix is cached, and caches it.
func (c *prefixCache) touch(prompt string) bool {
	prefix := prefixOf(prompt)
	if element, found := c.entries[prefix]; found {
		c.order.MoveToFront(element)
		return true
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	c.tell(prefix, false)
	if c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, oldest)
		c.tell(oldest, true)
	}
	return false
}

func (c *prefixCache) tell(prefix uint64, evicted bool) {
	c.seq++
	if c.random.Float64() < c.gap {
		return
	}
	c.events = append(c.events, timedEvent{
		CacheEvent: wire.CacheEvent{Seq: c.seq, Prefix: prefix, Evicted: evicted},
		visible:    time.Now().Add(c.lag),
	})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

// page returns the visible events from a number on.
func (c *prefixCache) page(from int64, now time.Time) wire.CacheEventPage {
	page := wire.CacheEventPage{Next: from, Events: []wire.CacheEvent{}}
	for _, event := range c.events {
		if event.visible.After(now) {
			break
		}
		if event.Seq < from {
			continue
		}
		page.Events = append(page.Events, event.CacheEvent)
		page.Next = event.Seq + 1
	}
	return page
}
