package backend

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// queueServer simulates a server of plain requests with a number of slots and a bounded queue.
type queueServer struct {
	slots     chan struct{}
	maxQueued int // maximum number of waiting requests

	mu         sync.Mutex
	inProgress int
}

// serve waits for a slot and holds it for the given time. It returns false at once if the queue is full.
func (s *queueServer) serve(work time.Duration) bool {
	s.mu.Lock()
	if s.inProgress >= cap(s.slots)+s.maxQueued {
		s.mu.Unlock()
		return false
	}
	s.inProgress++
	s.mu.Unlock()
	s.slots <- struct{}{}
	time.Sleep(work)
	<-s.slots
	s.mu.Lock()
	s.inProgress--
	s.mu.Unlock()
	return true
}

// simulateService sends plain requests for a service through many nodes in several runs and returns the mean shares of
// requests that are answered within the objective, answered late, and refused.
func simulateService(nodes, servers int, requestsPerSecond float64, meanWork time.Duration) (inTime, late, refused float64) {
	const runs = 6 // the results of single runs differ by a tenth
	for seed := range uint64(runs) {
		i, l, r := simulateServiceOnce(seed, nodes, servers, requestsPerSecond, meanWork)
		inTime, late, refused = inTime+i/runs, late+l/runs, refused+r/runs
	}
	return inTime, late, refused
}

func simulateServiceOnce(seed uint64, nodes, servers int, requestsPerSecond float64, meanWork time.Duration) (inTime, late, refused float64) {
	const (
		slots     = 6
		objective = 150 * time.Millisecond
		duration  = 12 * time.Second
		warmUp    = 4 * time.Second // requests in it are not counted
	)
	queues := map[string]*queueServer{}
	var tables []*Table
	for node := range nodes {
		t := NewTable(time.Second, slog.New(slog.DiscardHandler))
		t.random = rand.New(rand.NewPCG(seed, uint64(node)))
		for i := range servers {
			id := string(rune('a' + i))
			t.Put(Entry{ID: id, Service: "m", Address: "127.0.0.1:9", Slots: slots})
			queues[id] = &queueServer{slots: make(chan struct{}, slots), maxQueued: 3 * slots}
		}
		tables = append(tables, t)
	}
	random := rand.New(rand.NewPCG(1, seed))
	var mu sync.Mutex
	var tasks sync.WaitGroup
	var counts [3]float64
	begin := time.Now()
	count := func(outcome int) {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(begin) > warmUp {
			counts[outcome]++
		}
	}
	lastExchange := begin
	for time.Since(begin) < duration {
		time.Sleep(time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		if time.Since(lastExchange) > 500*time.Millisecond {
			lastExchange = time.Now()
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.SetPeerLoads(string(rune('A'+i)), from.OwnLoads())
					}
				}
			}
		}
		table := tables[random.IntN(nodes)]
		workTime := time.Duration(random.ExpFloat64() * float64(meanWork))
		tasks.Go(func() {
			arrived := time.Now()
			p, refusal := table.Place(Request{Service: "m", Objective: objective}, objective*3/2)
			if refusal != nil {
				count(2)
				return
			}
			if !queues[p.ID].serve(workTime) {
				p.Release(ResultRejected)
				count(2)
				return
			}
			p.RecordFirstByte()
			p.Release(ResultCompleted)
			if time.Since(arrived) <= objective {
				count(0)
			} else {
				count(1)
			}
		})
	}
	tasks.Wait()
	sum := counts[0] + counts[1] + counts[2]
	return counts[0] / sum, counts[1] / sum, counts[2] / sum
}

// Load pattern: a plain service has lost a third of its servers, and 30 nodes send more than the others can carry (run scale-1
// of duwende-route-grown: 40 % in time, 35 % late). Admitted requests must be answered in time: refusing the excess serves more
// callers than answering all of them late.
func TestOverloadedPlainServiceAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Two servers with six slots and 30 ms of work per request carry 400 of 460 requests a second. Two thirds of these 400
		// must be answered in time, and at most a tenth of all requests late.
		inTime, late, refused := simulateService(30, 2, 460, 30*time.Millisecond)
		if inTime < 400.0/460*2/3 || late > 0.1 {
			t.Errorf("answered in time %.2f (want at least 0.58), late %.2f (want at most 0.10), refused %.2f", inTime, late, refused)
		}
	})
}

// Load pattern: normal load. No requests may be refused.
func TestPlainServiceBelowCapacityRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inTime, late, refused := simulateService(30, 3, 300, 30*time.Millisecond)
		if refused > 0.01 || inTime < 0.95 {
			t.Errorf("answered in time %.2f (want at least 0.95), late %.2f, refused %.2f (want at most 0.01)", inTime, late, refused)
		}
	})
}

// Load pattern: a service that takes more than half of its objective at any load. Refusing requests would not make it faster.
func TestSlowPlainServiceIsNotThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, _, refused := simulateService(30, 3, 60, 120*time.Millisecond); refused > 0.05 {
			t.Errorf("refused %.2f, want at most 0.05", refused)
		}
	})
}
