package rollout

import "time"

// evidenceTime is the time over which the latest responses of both versions are compared, besides those since the order: a
// version that turns bad late must not be hidden by its earlier responses.
const evidenceTime = 4 * time.Second

// totals holds the counts of both versions of an order by route.
type totals struct {
	New, Old map[string]Counts
}

// allRoutes is the name of the pair of all routes together.
const allRoutes = "all routes"

func sumCounts(byRoute map[string]Counts) Counts {
	var sum Counts
	for _, c := range byRoute {
		sum = sum.Add(c)
	}
	return sum
}

// evidenceWindow holds the totals of the last evidenceTime, oldest first.
type evidenceWindow struct {
	list []totals
}

func (w *evidenceWindow) add(t totals) { w.list = append(w.list, t) }

// evidence returns the pairs of all routes together and of each alone, since the order and since the oldest reading.
func (w *evidenceWindow) evidence(now totals, servers int) Evidence {
	e := Evidence{Servers: servers, LeastAnswers: -1}
	readings := []totals{{}}
	if len(w.list) > 0 {
		readings = append(readings, w.list[0])
	}
	for i, from := range readings {
		suffix := " since the order"
		if i > 0 {
			suffix = " lately"
		}
		e.Pairs = append(e.Pairs, newPair(allRoutes+suffix, sumCounts(now.New), sumCounts(now.Old), sumCounts(from.New), sumCounts(from.Old)))
		for route := range now.New {
			e.Pairs = append(e.Pairs, newPair("route "+route+suffix, now.New[route], now.Old[route], from.New[route], from.Old[route]))
		}
	}
	for route, old := range now.Old {
		if answers := now.New[route].ended(); old.ended() > 0 && (e.LeastAnswers < 0 || answers < e.LeastAnswers) {
			e.LeastAnswers = answers
		}
	}
	return e
}

// newPair returns the responses of both versions since a reading. If the old version has had few since, they were most likely
// before those of the new one, which has got the requests since: then all responses of the old version count.
func newPair(name string, newNow, oldNow, newFrom, oldFrom Counts) Pair {
	p := Pair{Name: name, New: newNow.since(newFrom), Old: oldNow.since(oldFrom)}
	if p.Old.ended() < max(TrafficStrategy.Comparison.MinBaseline, p.New.ended()/2) {
		p.Old, p.IsOldEarlier = oldNow, true
	}
	return p
}
