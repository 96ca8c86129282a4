// Package limit decides the order and the bounds of admission: fair shares of tokens by organisation, the retry budget
// and early refusal of requests that cannot meet their deadline. Dispatchers use it under their own lock.
package limit

import "time"

// Class says how long an answer a request asks for.
type Class string

// The classes.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Item is one waiting request.
type Item struct {
	Organisation string
	Share        int // weight of the organisation, at least 1
	Class        Class
	Tokens       int       // uncached prompt tokens and expected answer tokens
	Since        time.Time // when it began to wait
	AgeAfter     time.Duration
	Resumed      bool // its run was accepted before
	Value        any  // the caller's own record of the request
}

// aged reports whether a long request has waited so long that it competes with short ones.
func (i *Item) aged(now time.Time) bool { return now.Sub(i.Since) >= i.AgeAfter }

// Queue orders waiting requests: resumed runs first, then short requests and aged long ones, then long ones; within
// each of the last two by start-time fair queueing over organisations (Goyal, Vin and Cheng, 1996). A flow's start tag is
// computed when its first request is taken, so that an organisation's own long requests do not delay its short ones.
// It is not safe for concurrent use.
type Queue struct {
	resumed []*Item
	flows   map[string]*flow
	virtual float64 // start tag of the request taken last
	tokens  int
	length  int
	// FIFO takes requests in the order of arrival; a baseline for measurements.
	FIFO bool
}

// flow holds the waiting requests of one organisation, each list in the order of arrival.
type flow struct {
	finish float64 // virtual time at which the tokens taken so far are paid for
	short  []*Item
	long   []*Item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{flows: map[string]*flow{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Tokens returns the tokens of all waiting requests.
func (q *Queue) Tokens() int { return q.tokens }

// Items returns all waiting requests in no particular order.
func (q *Queue) Items() []*Item {
	items := append(make([]*Item, 0, q.length), q.resumed...)
	for _, f := range q.flows {
		items = append(append(items, f.short...), f.long...)
	}
	return items
}

// Push adds a request.
func (q *Queue) Push(i *Item) {
	q.length++
	q.tokens += i.Tokens
	if i.Resumed {
		q.resumed = append(q.resumed, i)
		return
	}
	f := q.flow(i.Organisation)
	if i.Class == ClassLong {
		f.long = append(f.long, i)
	} else {
		f.short = append(f.short, i)
	}
}

func (q *Queue) flow(organisation string) *flow {
	f, found := q.flows[organisation]
	if !found {
		f = &flow{finish: q.virtual}
		q.flows[organisation] = f
	}
	return f
}

// Next returns the request to take next without taking it, nil if none waits.
func (q *Queue) Next(now time.Time) *Item { return q.NextWhere(now, nil) }

// NextWhere returns the first request in order for which ready holds, nil if there is none; a nil ready always holds.
func (q *Queue) NextWhere(now time.Time, ready func(*Item) bool) *Item {
	if i := firstReady(q.resumed, ready); i != nil {
		return i
	}
	if q.FIFO {
		return q.oldest(ready)
	}
	if i := q.lowestTag(func(f *flow) *Item { return f.urgent(now, ready) }); i != nil {
		return i
	}
	return q.lowestTag(func(f *flow) *Item { return firstReady(f.long, ready) })
}

// urgent returns the oldest short or aged long request.
func (f *flow) urgent(now time.Time, ready func(*Item) bool) *Item {
	short, long := firstReady(f.short, ready), firstReady(f.long, ready)
	if long == nil || !long.aged(now) || (short != nil && short.Since.Before(long.Since)) {
		return short
	}
	return long
}

func (q *Queue) lowestTag(head func(*flow) *Item) *Item {
	var best *Item
	bestTag := 0.0
	for _, f := range q.flows {
		i := head(f)
		if i == nil {
			continue
		}
		tag := max(q.virtual, f.finish)
		if best == nil || tag < bestTag || (tag == bestTag && older(i, best)) {
			best, bestTag = i, tag
		}
	}
	return best
}

func (q *Queue) oldest(ready func(*Item) bool) *Item {
	var best *Item
	for _, f := range q.flows {
		for _, list := range [][]*Item{f.short, f.long} {
			if i := firstReady(list, ready); i != nil && (best == nil || older(i, best)) {
				best = i
			}
		}
	}
	return best
}

func older(a, b *Item) bool {
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.Organisation < b.Organisation
}

func firstReady(items []*Item, ready func(*Item) bool) *Item {
	for _, i := range items {
		if ready == nil || ready(i) {
			return i
		}
	}
	return nil
}

// Take removes a request that goes to a backend server and charges its organisation.
func (q *Queue) Take(i *Item) {
	if !q.Remove(i) {
		return
	}
	f := q.flow(i.Organisation)
	start := max(q.virtual, f.finish)
	if !i.Resumed {
		// Resumed runs were charged when they were first taken.
		q.virtual = start
		f.finish = start + float64(i.Tokens)/float64(max(1, i.Share))
	}
	q.forgetIdle()
}

// forgetIdle drops flows that wait for nothing and owe nothing, so that the table does not grow with organisations.
func (q *Queue) forgetIdle() {
	for name, f := range q.flows {
		if len(f.short)+len(f.long) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// Remove takes a request out without charging it and reports whether it waited.
func (q *Queue) Remove(i *Item) bool {
	if remove(&q.resumed, i) {
		q.removed(i)
		return true
	}
	f := q.flows[i.Organisation]
	if f != nil && (remove(&f.short, i) || remove(&f.long, i)) {
		q.removed(i)
		return true
	}
	return false
}

func (q *Queue) removed(i *Item) {
	q.length--
	q.tokens -= i.Tokens
}

func remove(items *[]*Item, wanted *Item) bool {
	for at, i := range *items {
		if i == wanted {
			*items = append((*items)[:at], (*items)[at+1:]...)
			return true
		}
	}
	return false
}

// Ahead returns the number and the tokens of the requests that are expected to be taken before a new one: all resumed
// ones, those of its own organisation, and of each other organisation at most what its share allows meanwhile.
func (q *Queue) Ahead(i *Item) (count, tokens int) {
	if q.FIFO {
		return q.length, q.tokens
	}
	count, tokens = len(q.resumed), sum(q.resumed)
	if i.Resumed {
		return count, tokens
	}
	start, own := q.virtual, 0
	if f := q.flows[i.Organisation]; f != nil {
		ahead := f.ahead(i.Class)
		own = sum(ahead)
		count += len(ahead)
		tokens += own
		start = max(start, f.finish)
	}
	start += float64(own) / float64(max(1, i.Share))
	for name, f := range q.flows {
		if name == i.Organisation {
			continue
		}
		c, t := f.until(start, q.virtual, i.Class)
		count += c
		tokens += t
	}
	return count, tokens
}

// ahead returns the requests that a new one of the class waits for.
func (f *flow) ahead(class Class) []*Item {
	if class == ClassLong {
		return append(append([]*Item(nil), f.short...), f.long...)
	}
	return f.short
}

// until returns how much of a flow is taken before its tag passes start.
func (f *flow) until(start, virtual float64, class Class) (count, tokens int) {
	tag := max(virtual, f.finish)
	for _, i := range f.ahead(class) {
		if tag > start {
			break
		}
		count++
		tokens += i.Tokens
		tag += float64(i.Tokens) / float64(max(1, i.Share))
	}
	return count, tokens
}

func sum(items []*Item) int {
	total := 0
	for _, i := range items {
		total += i.Tokens
	}
	return total
}
