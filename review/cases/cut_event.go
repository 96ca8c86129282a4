package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cutEvent sends streams of which one in fifty stops in the middle of an event, at one of three runners.
func cutEvent(d *deployment) ([]string, error) {
	const pieces, clients, streamsEach = 10, 12, 120
	d.writeConfig(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "brief", "host": callerHost, "pathPrefix": "/stream/resumed/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "gapTargetMs": 300, "service": "model", "attempts": 2, "resumable": true},
			{"name": "once", "host": callerHost, "pathPrefix": "/stream/once/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "gapTargetMs": 300, "service": "model", "attempts": 1},
		},
		"services": []map[string]any{{"name": "model", "maxConns": 370}},
		"limits":   map[string]any{"maxBodyBytes": 4194304, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}}},
	})
	for i, zone := range zones {
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "model", zone: zone, version: "v1", slots: 2}
		if d.isTrouble && i == 0 {
			r.options = "stop=50"
		}
		if err := d.startRunner(r); err != nil {
			return nil, err
		}
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // contactMs, so that all machines are in touch
	var (
		mu     sync.Mutex
		broken []string
		group  sync.WaitGroup
	)
	for c := range clients {
		group.Go(func() {
			for i := range streamsEach {
				q := request{
					node: (c + i) % nodeCount, id: fmt.Sprintf("q%d-%d", c, i), method: http.MethodPost, path: []string{"/stream/resumed/brief", "/stream/once/brief"}[i%2], key: "k1", deadline: 15 * time.Second,
					header: map[string]string{"Case-Pieces": fmt.Sprint(pieces), "Case-Gap-Ms": "15"},
				}
				a := d.send(q)
				if a.status != http.StatusOK || !a.isComplete || lastEvent(a.body) == pieces && strings.HasSuffix(a.body, "\n\n") {
					continue
				}
				mu.Lock()
				broken = append(broken, fmt.Sprintf("ORDER: stream %s on %s ends as complete within event %d of %d", q.id, q.path, lastEvent(a.body)+1, pieces))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return broken, nil
}
