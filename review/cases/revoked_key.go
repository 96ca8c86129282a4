package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// revokedKey takes a key away, and after the bound for that kills all nodes while the store comes back from a copy of before. The
// operator writes the newest configuration again a moment after the store is back.
func revokedKey(d *deployment) ([]string, error) {
	const (
		revokeBound  = 5 * time.Second
		copyAge      = 7 * time.Second
		away         = 300 * time.Millisecond
		rewriteDelay = 1500 * time.Millisecond // of the configuration, after the store is back
	)
	config := func(version int, keys ...string) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []map[string]any{
				{"name": "claim", "host": callerHost, "pathPrefix": "/plain/", "kind": "non_idempotent", "timeoutMs": 1000, "sloMs": 150, "service": "desk", "attempts": 1},
			},
			"services": []map[string]any{{"name": "desk", "maxConns": 110}},
			"limits":   map[string]any{"maxBodyBytes": 4194304, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
			"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}}, {"name": "t2", "apiKeys": keys}},
		}
	}
	d.writeConfig(config(3, "k2", "k3"))
	for i, zone := range zones {
		if err := d.startRunner(&runner{id: fmt.Sprintf("i-%d", i), service: "desk", zone: zone, version: "v1", slots: 6}); err != nil {
			return nil, err
		}
	}
	d.keepCopies()
	if err := d.start(); err != nil {
		return nil, err
	}
	var (
		mu        sync.Mutex
		revokedAt time.Time
		broken    []string
		group     sync.WaitGroup
	)
	stop := make(chan struct{})
	for c := range 4 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				key := []string{"k1", "k3"}[c%2]
				a := d.send(request{node: (c + i) % nodeCount, id: fmt.Sprintf("q%d-%d-%s", c, i, key), method: http.MethodPost, path: "/plain/claim", key: key, deadline: time.Second})
				mu.Lock()
				if key == "k3" && !revokedAt.IsZero() && a.sentAt.After(revokedAt.Add(revokeBound)) && a.status == http.StatusOK && strings.HasPrefix(a.body, "piece") {
					broken = append(broken, fmt.Sprintf("CONFIG: request q%d-%d-%s with a key that was taken away %.1f s before has run", c, i, key, a.sentAt.Sub(revokedAt).Seconds()))
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second)
	d.writeConfig(config(5, "k2"))
	mu.Lock()
	revokedAt = time.Now()
	mu.Unlock()
	time.Sleep(revokeBound + 500*time.Millisecond)
	if d.isTrouble {
		for n := range nodeCount {
			d.killNode(n)
		}
		d.restoreStore(copyAge, away, 0, rewriteDelay)
		for n := range nodeCount {
			if err := d.startNode(n, false); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	return broken, nil
}
