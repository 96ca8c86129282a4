package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// reclaimedAnswer sends streams and plain requests, and reclaims the runners of one zone while they answer. One in twenty of their
// answers has neither a length nor chunks.
func reclaimedAnswer(d *deployment) ([]string, error) {
	const (
		pieces, gapMs = 40, 100 // an answer takes 4 s
		requests      = 160
		notice        = 2 * time.Second // from the announcement to the end
	)
	d.writeConfig(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "brief", "host": callerHost, "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "gapTargetMs": 300, "service": "model", "attempts": 2, "resumable": true},
			{"name": "report", "host": callerHost, "pathPrefix": "/plain/", "kind": "idempotent", "timeoutMs": 15000, "sloMs": 5000, "service": "model", "attempts": 2},
		},
		"services": []map[string]any{{"name": "model", "maxConns": 370}},
		"limits":   map[string]any{"maxBodyBytes": 4194304, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}}},
	})
	runners := []*runner{
		{id: "i-0", zone: zones[0], spot: true, options: "unframed=20"}, {id: "i-1", zone: zones[0], spot: true, options: "unframed=20"},
		{id: "i-2", zone: zones[1]}, {id: "i-3", zone: zones[2]},
	}
	for _, r := range runners {
		r.service, r.version, r.slots = "model", "v1", 16
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
	for i := range requests {
		group.Go(func() {
			q := request{
				node: i % nodeCount, id: fmt.Sprintf("q%d", i), method: http.MethodPost, path: "/stream/brief", key: "k1", deadline: 15 * time.Second,
				header: map[string]string{"Case-Pieces": fmt.Sprint(pieces), "Case-Gap-Ms": fmt.Sprint(gapMs)},
			}
			if i%2 == 1 {
				q.method, q.path = http.MethodGet, "/plain/report"
			}
			a := d.send(q)
			if a.status != http.StatusOK || !a.isComplete {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if last := lastEvent(a.body); i%2 == 0 && last != pieces {
				broken = append(broken, fmt.Sprintf("MIXED: stream %s ends as complete after event %d of %d", q.id, last, pieces))
			}
			if whole := wholeBody(pieces); i%2 == 1 && a.body != whole {
				broken = append(broken, fmt.Sprintf("MIXED: answer %s is complete with %d of the runner's %d bytes", q.id, len(a.body), len(whole)))
			}
		})
	}
	time.Sleep(time.Second)
	if d.isTrouble {
		for _, r := range d.runners[:2] {
			d.writeEntry(r, "draining", int(notice.Milliseconds()))
		}
		time.Sleep(notice)
		for _, r := range d.runners[:2] {
			d.record.linef("runner %s is taken away", r.id)
			kill(r.process, r.ended)
			d.store.Delete("servers", r.id)
		}
	}
	group.Wait()
	return broken, nil
}

// wholeBody returns the body of a plain answer.
func wholeBody(pieces int) string {
	body := ""
	for i := 1; i <= pieces; i++ {
		body += fmt.Sprintf("piece %d of %d;", i, pieces)
	}
	return body
}
