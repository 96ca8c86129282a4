package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

func init() { cases["restart-as-other-version"] = playRestartAsOtherVersion }

// playRestartAsOtherVersion: the last two runners of a software version crash, and start again under their ids and at their
// addresses with the other version, which they write to the store before they listen. Clients take up their streams.
func playRestartAsOtherVersion(rec *record, isDisturbed bool) ([]string, error) {
	const events, clients = 150, 96
	config := exampleConfig()
	config["routes"] = []map[string]any{
		{"name": "order-brief", "host": "wuny96.example", "pathPrefix": "/brief/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "priority": 1, "service": "brush-model", "attempts": 2, "resumable": true, "gapTargetMs": 300},
	}
	s, err := startSystem(rec, deployment{nodes: 9, config: config})
	if err != nil {
		return nil, err
	}
	defer s.close()
	var runners []*runnerProcess
	for i := range 8 {
		version := "v1"
		if i >= 2 {
			version = "v2"
		}
		r, err := s.startRunner(fmt.Sprintf("i-%d", i), "brush-model", s.zones[i%3], "127.0.0.1:0", "--events", strconv.Itoa(events), "--version", version)
		if err != nil {
			return nil, err
		}
		r.version = version
		s.register(r, "ready")
		runners = append(runners, r)
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	streams := make([][]answer, clients)
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { streams[i] = s.follow(i, events) })
	}
	if isDisturbed {
		time.Sleep(time.Second)
		for i, r := range runners[:2] {
			s.crash(r)
			if i == 1 {
				break
			}
			time.Sleep(2 * time.Second)
			r.version = "v2"
			s.register(r, "ready")
			if _, err := s.startRunner(r.id, r.service, r.zone, r.address, "--events", strconv.Itoa(events), "--version", "v2"); err != nil {
				return nil, err
			}
			rec.printf("runner %s has started again with version v2", r.id)
		}
	}
	group.Wait()
	var mixed []string
	for i, answers := range streams {
		if !isDisturbed && answers[0].lastEvent < events {
			return nil, errors.Wrapf(errCannotRun, "without a disturbance: %s", answers[0])
		}
		text := ""
		for _, a := range answers {
			text += a.body
		}
		if strings.Contains(text, "v1 token") && strings.Contains(text, "v2 token") {
			mixed = append(mixed, fmt.Sprintf("brief-%d", i))
		}
	}
	rec.printf("%d of %d streams hold events of both versions: %s", len(mixed), clients, strings.Join(mixed, ", "))
	if len(mixed) > 2 {
		return []string{fmt.Sprintf("ORDER: %d streams hold events of both versions", len(mixed))}, nil
	}
	return nil, nil
}

// follow sends a request for a stream, and takes the stream up when it breaks off, as the answers tell.
func (s *system) follow(client, events int) []answer {
	const maxTries = 6
	deadline := time.Now().Add(15 * time.Second)
	var answers []answer
	last, first := 0, ""
	for try := range maxTries {
		left := time.Until(deadline)
		if left < 100*time.Millisecond {
			break
		}
		id := fmt.Sprintf("brief-%d-%d", client, try)
		header := map[string]string{"X-Model": "m", "X-Token-Counts": "100,600", "X-Prompt-Prefix": fmt.Sprintf("a:10,%d:90", client)}
		if last > 0 {
			header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(last), first
		}
		a := s.send(s.nodes[rand.IntN(len(s.nodes))], request{method: "POST", path: "/brief/x", id: id, deadline: left, body: "prompt", header: header})
		answers = append(answers, a)
		if a.lastEvent > 0 {
			last = a.lastEvent
			if first == "" {
				first = id
			}
		}
		if a.isComplete && a.status == 200 || last >= events {
			break
		}
		wait, err := strconv.ParseFloat(a.retryAfter, 64)
		if err != nil {
			wait = 0.05
		}
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Until(deadline)/3))
	}
	return answers
}
