package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

func init() { cases["accepted-late-and-cut"] = playAcceptedLate }

// playAcceptedLate: nodes get SIGTERM in turn. Clients that keep addresses for longer send streams to each of them, the last ones
// right after the 3 s for which the platform's rule excuses what is cut at the end of the stop.
func playAcceptedLate(rec *record, isDisturbed bool) ([]string, error) {
	const events, excusedFor, clients = 150, 3 * time.Second, 100
	d := deployment{nodes: 9, config: exampleConfig()}
	s, err := startSystem(rec, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	var runners []*runnerProcess
	for i := range 21 {
		service := "brush-model"
		if i >= 18 {
			service = "order-desk"
		}
		r, err := s.startRunner(fmt.Sprintf("i-%010x", 0xb96b4e1eb+i), service, s.zones[i%len(s.zones)], "127.0.0.1:0", "--events", fmt.Sprint(events))
		if err != nil {
			return nil, err
		}
		r.slowFor = 2 * time.Minute
		s.register(r, "ready")
		runners = append(runners, r)
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, r := range runners {
		background.Go(func() { s.sendHeartbeats(r, stop) })
	}
	defer func() { close(stop); background.Wait() }()
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	for i := range 12 { // ordinary traffic
		background.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				s.send(s.nodes[rand.IntN(len(s.nodes))], request{method: "GET", path: "/look/x", id: fmt.Sprintf("look-%d-%d", i, k), deadline: time.Second})
			}
		})
	}
	time.Sleep(5 * time.Second)
	var violations []string
	// The first nodes of the zones watch the registry for all.
	for round, n := range []*nodeProcess{s.nodes[2], s.nodes[0], s.nodes[1], s.nodes[2], s.nodes[0], s.nodes[1]} {
		terminatedAt := time.Now()
		if isDisturbed {
			n.signal(syscall.SIGTERM)
			terminatedAt = time.Now() // when the signal has been sent
			rec.printf("SIGTERM to %s", n.name)
		}
		var mu sync.Mutex
		var answers []answer
		var group sync.WaitGroup
		for k := range clients {
			group.Go(func() {
				time.Sleep(time.Until(terminatedAt.Add(excusedFor + time.Duration(k)*time.Millisecond)))
				a := s.send(n, request{method: "POST", path: "/brief/x", id: fmt.Sprintf("brief-%d-%d", round, k), deadline: 15 * time.Second, body: "prompt",
					header: map[string]string{"X-Model": "m", "X-Token-Counts": "100,600", "X-Prompt-Prefix": fmt.Sprintf("a:10,%d%d:90", round, k)}})
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
		group.Wait()
		for _, a := range answers {
			if !isDisturbed && (a.status != 200 || a.lastEvent < events) {
				return nil, errors.Wrapf(errCannotRun, "without a disturbance: %s", a)
			}
			if late := a.sentAt.Sub(terminatedAt); isDisturbed && late > excusedFor && a.lastEvent > 0 && !a.isComplete {
				violations = append(violations, fmt.Sprintf("LOST: stream %s, sent to %s %.1f ms later than 3 s after SIGTERM, was passed on and cut after event %d of %d", a.id, n.name, float64((late-excusedFor).Microseconds())/1000, a.lastEvent, events))
			}
		}
		if !isDisturbed {
			continue
		}
		<-n.exited
		if err := s.startNode(n, d, false); err != nil {
			return nil, err
		}
		rec.printf("%s starts again", n.name)
		if err := s.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	rec.printf("%d streams were accepted late and cut", len(violations))
	return violations, nil
}
