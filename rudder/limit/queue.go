// Package limit provides the admission control of a dispatcher: a fair queue that shares tokens among organisations, the
// retry budget, and the early refusal of requests that cannot meet their deadline. Its types are not safe for concurrent use;
// callers hold their own lock.
package limit

import "time"

// Class is the scheduling class of a request, by the length of the requested answer.
type Class string

// The scheduling classes.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Item is a request in the queue.
type Item struct {
	Organisation string
	Share        int // weight of the organisation, at least 1
	Class        Class
	Tokens       int           // uncached prompt tokens and expected answer tokens
	EnqueuedAt   time.Time     // start of the wait
	AgeAfter     time.Duration // wait after which a long request competes with short ones
	Resumed      bool          // its run was accepted before and is charged already
	Value        any           // for the caller; not used by the queue
}

// isAged reports whether a long request has waited long enough to compete with short ones.
func (i *Item) isAged(now time.Time) bool { return now.Sub(i.EnqueuedAt) >= i.AgeAfter }

// Queue orders waiting requests: resumed runs first, then short requests and aged long ones, then other long ones. Within
// each of the last two groups, start-time fair queueing (Goyal, Vin and Cheng, 1996) shares tokens among organisations. A
// start tag is computed when a request is taken and not when it arrives, so that an organisation's long requests do not delay
// its own short ones. A Queue is not safe for concurrent use.
type Queue struct {
	resumed     []*Item
	flows       map[string]*flow
	virtualTime float64 // start tag of the request that was taken last
	tokens      int
	length      int
	// FIFO makes the queue return requests that are not resumed in the order of arrival, as a baseline for benchmarks.
	FIFO bool
}

// flow holds the waiting requests of one organisation. Each list is in the order of arrival.
type flow struct {
	finishTag float64 // finish tag of the request taken last: the virtual time up to which the flow is charged
	short     []*Item
	long      []*Item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{flows: map[string]*flow{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Tokens returns the sum of the tokens of all waiting requests.
func (q *Queue) Tokens() int { return q.tokens }

// Items returns all waiting requests in no particular order.
func (q *Queue) Items() []*Item {
	items := append(make([]*Item, 0, q.length), q.resumed...)
	for _, f := range q.flows {
		items = append(append(items, f.short...), f.long...)
	}
	return items
}

// Push adds a request to the queue.
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
		f = &flow{finishTag: q.virtualTime}
		q.flows[organisation] = f
	}
	return f
}

// Peek returns the request to take next without removing it, nil if the queue is empty.
func (q *Queue) Peek(now time.Time) *Item { return q.PeekFunc(now, nil) }

// PeekFunc returns the first request in queue order that is eligible, without removing it, nil if there is none. A nil
// isEligible accepts every request.
func (q *Queue) PeekFunc(now time.Time, isEligible func(*Item) bool) *Item {
	if i := firstMatch(q.resumed, isEligible); i != nil {
		return i
	}
	if q.FIFO {
		return q.oldest(isEligible)
	}
	if i := q.lowestStartTag(func(f *flow) *Item { return f.oldestShortOrAged(now, isEligible) }); i != nil {
		return i
	}
	return q.lowestStartTag(func(f *flow) *Item { return firstMatch(f.long, isEligible) })
}

// oldestShortOrAged returns the eligible short or aged long request of the flow that has waited longest.
func (f *flow) oldestShortOrAged(now time.Time, isEligible func(*Item) bool) *Item {
	short, long := firstMatch(f.short, isEligible), firstMatch(f.long, isEligible)
	if long == nil || !long.isAged(now) || (short != nil && short.EnqueuedAt.Before(long.EnqueuedAt)) {
		return short
	}
	return long
}

// lowestStartTag returns the head of the flow with the lowest start tag, nil if no flow has a head. Among equal tags the
// older request wins.
func (q *Queue) lowestStartTag(head func(*flow) *Item) *Item {
	var best *Item
	bestTag := 0.0
	for _, f := range q.flows {
		i := head(f)
		if i == nil {
			continue
		}
		tag := max(q.virtualTime, f.finishTag)
		if best == nil || tag < bestTag || (tag == bestTag && isOlder(i, best)) {
			best, bestTag = i, tag
		}
	}
	return best
}

// oldest returns the eligible request that has waited longest, resumed ones not included.
func (q *Queue) oldest(isEligible func(*Item) bool) *Item {
	var best *Item
	for _, f := range q.flows {
		for _, list := range [][]*Item{f.short, f.long} {
			if i := firstMatch(list, isEligible); i != nil && (best == nil || isOlder(i, best)) {
				best = i
			}
		}
	}
	return best
}

// isOlder reports whether a goes before b: by enqueue time, then by the name of the organisation.
func isOlder(a, b *Item) bool {
	if !a.EnqueuedAt.Equal(b.EnqueuedAt) {
		return a.EnqueuedAt.Before(b.EnqueuedAt)
	}
	return a.Organisation < b.Organisation
}

func firstMatch(items []*Item, isEligible func(*Item) bool) *Item {
	for _, i := range items {
		if isEligible == nil || isEligible(i) {
			return i
		}
	}
	return nil
}

// Take removes a request from the queue and charges its tokens to its organisation. It does nothing if the request does not
// wait.
func (q *Queue) Take(i *Item) {
	if !q.Remove(i) {
		return
	}
	f := q.flow(i.Organisation)
	startTag := max(q.virtualTime, f.finishTag)
	if !i.Resumed {
		// Resumed runs were charged when they were taken for the first time.
		q.virtualTime = startTag
		f.finishTag = startTag + float64(i.Tokens)/float64(max(1, i.Share))
	}
	q.dropIdleFlows()
}

// dropIdleFlows removes flows that have no waiting requests and whose charge has expired, so that the map does not grow with
// the number of organisations seen.
func (q *Queue) dropIdleFlows() {
	for name, f := range q.flows {
		if len(f.short)+len(f.long) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// Remove removes a request without charging it and reports whether it was in the queue.
func (q *Queue) Remove(i *Item) bool {
	if removeItem(&q.resumed, i) {
		q.subtract(i)
		return true
	}
	f := q.flows[i.Organisation]
	if f != nil && (removeItem(&f.short, i) || removeItem(&f.long, i)) {
		q.subtract(i)
		return true
	}
	return false
}

// subtract removes a request from the totals of the queue.
func (q *Queue) subtract(i *Item) {
	q.length--
	q.tokens -= i.Tokens
}

func removeItem(items *[]*Item, wanted *Item) bool {
	for index, i := range *items {
		if i == wanted {
			*items = append((*items)[:index], (*items)[index+1:]...)
			return true
		}
	}
	return false
}

// Ahead returns the number and the tokens of the requests that are expected to be taken before a new one: all resumed ones,
// those of its own organisation, and of every other organisation those that its share allows in the meantime.
func (q *Queue) Ahead(i *Item) (count, tokens int) {
	if q.FIFO {
		return q.length, q.tokens
	}
	count, tokens = len(q.resumed), sumTokens(q.resumed)
	if i.Resumed {
		return count, tokens
	}
	startTag, ownTokens := q.virtualTime, 0
	if f := q.flows[i.Organisation]; f != nil {
		ahead := f.itemsAhead(i.Class)
		ownTokens = sumTokens(ahead)
		count += len(ahead)
		tokens += ownTokens
		startTag = max(startTag, f.finishTag)
	}
	startTag += float64(ownTokens) / float64(max(1, i.Share))
	for name, f := range q.flows {
		if name == i.Organisation {
			continue
		}
		c, t := f.takenBefore(startTag, q.virtualTime, i.Class)
		count += c
		tokens += t
	}
	return count, tokens
}

// itemsAhead returns the requests of the flow that precede a new one of the class.
func (f *flow) itemsAhead(class Class) []*Item {
	if class == ClassLong {
		return append(append([]*Item(nil), f.short...), f.long...)
	}
	return f.short
}

// takenBefore returns the number and the tokens of the requests that are taken before the start tag of the flow exceeds
// startTag.
func (f *flow) takenBefore(startTag, virtualTime float64, class Class) (count, tokens int) {
	tag := max(virtualTime, f.finishTag)
	for _, i := range f.itemsAhead(class) {
		if tag > startTag {
			break
		}
		count++
		tokens += i.Tokens
		tag += float64(i.Tokens) / float64(max(1, i.Share))
	}
	return count, tokens
}

func sumTokens(items []*Item) int {
	total := 0
	for _, i := range items {
		total += i.Tokens
	}
	return total
}
