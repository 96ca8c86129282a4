package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

func init() { cases["key-moved-to-other-tenant"] = playKeyMoved }

// playKeyMoved: the operator moves a key to another tenant while streams with it are under way. Some seconds later half of their
// connections are reset, and the streams go on at other runners.
func playKeyMoved(rec *record, isDisturbed bool) ([]string, error) {
	const events, clients, sendingNodes, configBound = 150, 18, 3, 2 * time.Second
	config := exampleConfig()
	config["routes"] = []map[string]any{
		{"name": "order-brief", "host": "wuny96.example", "pathPrefix": "/brief/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "priority": 1, "service": "brush-model", "attempts": 2, "resumable": true, "gapTargetMs": 300},
	}
	config["tenants"] = []map[string]any{{"name": "huka270", "apiKeys": []string{"key1"}}, {"name": "puhu251", "apiKeys": []string{"key2"}}}
	s, err := startSystem(rec, deployment{nodes: 9, config: config})
	if err != nil {
		return nil, err
	}
	defer s.close()
	args := []string{"--events", fmt.Sprint(events)}
	if isDisturbed {
		args = append(args, "--reset-after", "110", "--reset-delay", "0s")
	}
	for i := range 6 {
		r, err := s.startRunner(fmt.Sprintf("i-%d", i), "brush-model", s.zones[i%len(s.zones)], "127.0.0.1:0", args...)
		if err != nil {
			return nil, err
		}
		s.register(r, "ready")
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var acknowledgedAt time.Time
	answers := s.sendAll(clients, func(i int) (*nodeProcess, request) {
		return s.nodes[i%sendingNodes], request{method: "POST", path: "/brief/x", id: fmt.Sprintf("brief-%d", i), deadline: 15 * time.Second, body: "prompt",
			header: map[string]string{"X-Model": "m", "X-Token-Counts": "100,600", "X-Prompt-Prefix": fmt.Sprintf("a:10,%d:90", i)}}
	}, func() {
		if !isDisturbed {
			return
		}
		time.Sleep(time.Second)
		next := exampleConfig()
		next["version"], next["routes"] = 8, config["routes"]
		next["tenants"] = []map[string]any{{"name": "huka270", "apiKeys": []string{}}, {"name": "puhu251", "apiKeys": []string{"key1", "key2"}}}
		s.store.Set("config", "main", next)
		acknowledgedAt = time.Now()
		rec.printf("the store has acknowledged version 8 of the configuration: key1 is that of puhu251, not of huka270")
	})
	for _, a := range answers {
		if !isDisturbed && (a.status != 200 || a.lastEvent < events) {
			return nil, errors.Wrapf(errCannotRun, "without a disturbance: %s", a)
		}
	}
	var violations []string
	for _, run := range s.runs() {
		if age := run.at.Sub(acknowledgedAt); isDisturbed && age > configBound && run.tenant != "puhu251" {
			violations = append(violations, fmt.Sprintf("UNASKED: a runner began to run %s for %q %d ms after the acknowledgement of the configuration that gave its key to puhu251", run.attempt, run.tenant, age.Milliseconds()))
		}
	}
	return violations, nil
}
