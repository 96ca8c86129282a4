package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// reportedTwice kills nodes right after the platform has accepted the usage of a window, while the store comes back from a copy that
// is some seconds old: first the node that has reported, then all.
func reportedTwice(d *deployment) ([]string, error) {
	const (
		copyAge = 4 * time.Second
		away    = 300 * time.Millisecond
	)
	d.writeConfig(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "look", "host": callerHost, "pathPrefix": "/plain/", "kind": "idempotent", "timeoutMs": 1000, "sloMs": 150, "service": "desk", "attempts": 2},
		},
		"services": []map[string]any{{"name": "desk", "maxConns": 110}},
		"limits":   map[string]any{"maxBodyBytes": 4194304, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}}, {"name": "t2", "apiKeys": []string{"k2"}}},
	})
	for i, zone := range zones {
		if err := d.startRunner(&runner{id: fmt.Sprintf("i-%d", i), service: "desk", zone: zone, version: "v1", slots: 6}); err != nil {
			return nil, err
		}
	}
	d.keepCopies()
	reported := make(chan string, 100)
	d.usage.onReport = func(holder string) { reported <- holder }
	if err := d.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range 6 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				d.send(request{node: (c + i) % nodeCount, id: fmt.Sprintf("q%d-%d", c, i), method: http.MethodGet, path: "/plain/look", key: fmt.Sprintf("k%d", 1+i%2), deadline: time.Second})
			}
		})
	}
	for _, killsAll := range []bool{false, true} {
		holder, err := awaitReports(reported, 3)
		if err != nil {
			return nil, err
		}
		if d.isTrouble {
			var killed []int
			for n := range nodeCount {
				if killsAll || holder == fmt.Sprintf("front-%d", n) {
					d.killNode(n)
					killed = append(killed, n)
				}
			}
			d.restoreStore(copyAge, away, 0, 0)
			for _, n := range killed {
				if err := d.startNode(n, false); err != nil {
					return nil, err
				}
			}
		}
		time.Sleep(12 * time.Second) // recoverS; no report of the window is due later
	}
	close(stop)
	group.Wait()
	return d.usage.differing(), nil
}

// awaitReports waits for a number of reports that come from now on, and returns the holder that sent the last one.
func awaitReports(reported <-chan string, count int) (holder string, err error) {
	for len(reported) > 0 {
		<-reported
	}
	timeout := time.After(40 * time.Second)
	for range count {
		select {
		case holder = <-reported:
		case <-timeout:
			return "", cannotRun("the nodes do not report usage")
		}
	}
	return holder, nil
}

// differing describes the windows for which reports with different counts were accepted.
func (u *usageAPI) differing() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []string
	for window, reports := range u.reports {
		for _, r := range reports[1:] {
			if !maps.Equal(r.counts, reports[0].counts) {
				list = append(list, fmt.Sprintf("ONE: the platform accepted the usage of window %d as %v from %s and as %v from %s", window, reports[0].counts, reports[0].holder, r.counts, r.holder))
			}
		}
	}
	return list
}
