package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

func init() {
	cases["reset-while-frozen"] = playResetWhileFrozen
	cases["crash-behind-cut"] = playCrashBehindCut
}

// playResetWhileFrozen: runners fall silent in the middle of answers without a length and reset their connections. The node that
// forwards the answers stands still meanwhile.
func playResetWhileFrozen(rec *record, isDisturbed bool) ([]string, error) {
	const events, bodyBytes, rounds, clients = 12, 800, 3, 8
	s, err := startSystem(rec, deployment{nodes: 9, config: exampleConfig()})
	if err != nil {
		return nil, err
	}
	defer s.close()
	model, desk := []string{"--events", strconv.Itoa(events)}, []string(nil)
	if isDisturbed {
		model = append(model, "--reset-after", "4", "--reset-delay", "700ms")
		desk = append(desk, "--reset-body", "--reset-delay", "300ms")
	}
	for i, zone := range s.zones {
		for service, args := range map[string][]string{"brush-model": model, "order-desk": desk} {
			r, err := s.startRunner(fmt.Sprintf("i-%s-%d", service, i), service, zone, "127.0.0.1:0", args...)
			if err != nil {
				return nil, err
			}
			s.register(r, "ready")
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	node := s.nodes[0]
	freeze := func(after, length time.Duration) {
		if !isDisturbed {
			return
		}
		time.Sleep(after)
		rec.printf("node %s is stopped", node.name)
		node.signal(syscall.SIGSTOP)
		time.Sleep(length)
		node.signal(syscall.SIGCONT)
		rec.printf("node %s goes on", node.name)
	}
	var violations []string
	for round := range rounds {
		answers := s.sendAll(clients, func(i int) (*nodeProcess, request) {
			return node, request{method: "POST", path: "/ask/x", id: fmt.Sprintf("ask-%d-%d", round, i), deadline: 3 * time.Second, body: "prompt",
				header: map[string]string{"X-Model": "m", "X-Token-Counts": "100,48", "X-Prompt-Prefix": fmt.Sprintf("a:10,%d%d:90", round, i)}}
		}, func() { freeze(500*time.Millisecond, 1500*time.Millisecond) })
		for _, a := range answers {
			if !isDisturbed && (a.status != 200 || a.lastEvent < events) {
				return nil, errors.Wrapf(errCannotRun, "without a disturbance: %s", a)
			}
			if a.status == 200 && a.isComplete && a.lastEvent < events {
				violations = append(violations, fmt.Sprintf("MIXED: stream %s was reset on the way and ended as complete after event %d of %d", a.id, a.lastEvent, events))
			}
		}
		answers = s.sendAll(clients, func(i int) (*nodeProcess, request) {
			return node, request{method: "GET", path: "/look/x", id: fmt.Sprintf("look-%d-%d", round, i), deadline: time.Second}
		}, func() { freeze(100*time.Millisecond, 600*time.Millisecond) })
		for _, a := range answers {
			if !isDisturbed && (a.status != 200 || len(a.body) < bodyBytes) {
				return nil, errors.Wrapf(errCannotRun, "without a disturbance: %s", a)
			}
			if a.status == 200 && a.isComplete && len(a.body) < bodyBytes {
				violations = append(violations, fmt.Sprintf("MIXED: answer %s was reset on the way and ended as complete after %d bytes of %d", a.id, len(a.body), bodyBytes))
			}
		}
	}
	return violations, nil
}

// sendAll sends requests at the same time, calls meanwhile, and returns the answers.
func (s *system) sendAll(count int, next func(i int) (*nodeProcess, request), meanwhile func()) []answer {
	answers := make([]answer, count)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = s.send(next(i)) })
	}
	meanwhile()
	group.Wait()
	return answers
}

// playCrashBehindCut: a runner is cut off from all nodes. It crashes behind the cut and starts again at its address before the cut
// heals. Its answers have no length and end with their connections.
func playCrashBehindCut(rec *record, isDisturbed bool) ([]string, error) {
	const events, clients, runnerCount = 96, 24, 6
	s, err := startSystem(rec, deployment{nodes: 9, config: exampleConfig()})
	if err != nil {
		return nil, err
	}
	defer s.close()
	var cutOff *runnerProcess
	var address string
	var link *cutProxy
	for i := range runnerCount {
		r, err := s.startRunner(fmt.Sprintf("i-%d", i), "brush-model", s.zones[i%len(s.zones)], "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if i == 0 {
			cutOff, address = r, r.address
			if link, err = newCutProxy(address); err != nil {
				return nil, err
			}
			r.address = link.address()
		}
		s.register(r, "ready")
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var restartErr error
	answers := s.sendAll(clients, func(i int) (*nodeProcess, request) {
		return s.nodes[i%len(s.nodes)], request{method: "POST", path: "/brief/x", id: fmt.Sprintf("brief-%d", i), deadline: 15 * time.Second, body: "prompt",
			header: map[string]string{"X-Model": "m", "X-Token-Counts": "100,384", "X-Prompt-Prefix": fmt.Sprintf("a:10,%d:90", i)}}
	}, func() {
		if !isDisturbed {
			return
		}
		time.Sleep(time.Second)
		rec.printf("runner %s is cut off from the nodes", cutOff.id)
		link.setCut(true)
		time.Sleep(300 * time.Millisecond)
		s.crash(cutOff)
		time.Sleep(2 * time.Second)
		var restarted *runnerProcess
		if restarted, restartErr = s.startRunner("i-0b", "brush-model", s.zones[0], address); restartErr != nil {
			return
		}
		restarted.address = link.address()
		s.register(restarted, "ready")
		rec.printf("runner %s has started at the address of the killed one", restarted.id)
		time.Sleep(700 * time.Millisecond)
		link.setCut(false)
		rec.printf("the cut heals")
	})
	if restartErr != nil {
		return nil, restartErr
	}
	var violations []string
	for _, a := range answers {
		if !isDisturbed && (a.status != 200 || a.lastEvent < events) {
			return nil, errors.Wrapf(errCannotRun, "without a disturbance: %s", a)
		}
		if a.status == 200 && a.isComplete && a.lastEvent < events {
			violations = append(violations, fmt.Sprintf("ORDER: stream %s ended as complete after event %d of %d", a.id, a.lastEvent, events))
		}
	}
	return violations, nil
}
