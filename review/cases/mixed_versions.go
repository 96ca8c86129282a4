package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// mixedVersions kills all nodes while runners of two software versions serve, and the store comes back from a copy of before the
// newer version. The callers take their streams up.
func mixedVersions(d *deployment) ([]string, error) {
	const (
		pieces, gapMs = 40, 100 // a stream takes 4 s
		streams       = 24
		copyAge       = 5 * time.Second
		away          = 300 * time.Millisecond
		rewriteDelay  = 1500 * time.Millisecond // of the runners' entries, after the store is back
	)
	d.writeConfig(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "brief", "host": callerHost, "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "gapTargetMs": 300, "service": "model", "attempts": 2, "resumable": true},
		},
		"services": []map[string]any{{"name": "model", "maxConns": 370}},
		"limits":   map[string]any{"maxBodyBytes": 4194304, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}}},
	})
	for i, zone := range zones {
		if err := d.startRunner(&runner{id: fmt.Sprintf("i-%d", i), service: "model", zone: zone, version: "v1", slots: 64}); err != nil {
			return nil, err
		}
	}
	d.keepCopies()
	if err := d.start(); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	for i, zone := range zones {
		if err := d.startRunner(&runner{id: fmt.Sprintf("i-%d", i+3), service: "model", zone: zone, version: "v2", slots: 64}); err != nil {
			return nil, err
		}
	}
	time.Sleep(1500 * time.Millisecond) // all nodes know both versions
	var (
		mu     sync.Mutex
		broken []string
		group  sync.WaitGroup
	)
	for i := range streams {
		group.Go(func() {
			events := d.streamWithTakeUps(fmt.Sprintf("q%d", i), i%nodeCount, pieces, gapMs)
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(events, "by v1") && strings.Contains(events, "by v2") {
				broken = append(broken, fmt.Sprintf("ORDER: stream q%d holds events of two software versions", i))
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if d.isTrouble {
		for n := range nodeCount {
			d.killNode(n)
		}
		d.restoreStore(copyAge, away, rewriteDelay, 0)
		for n := range nodeCount {
			if err := d.startNode(n, false); err != nil {
				return nil, err
			}
		}
	}
	group.Wait()
	if len(broken) <= 2 { // the rule allows two
		return nil, nil
	}
	return broken, nil
}

const (
	// maxTakeUps and takeUpDelay are how often a client takes a stream up, and how long after its connection broke.
	maxTakeUps  = 3
	takeUpDelay = time.Second
)

// streamWithTakeUps asks for a stream and takes it up where it broke off, until it is complete or its tries are over. It returns all
// whole events that the client got.
func (d *deployment) streamWithTakeUps(id string, node, pieces, gapMs int) string {
	const deadline = 15 * time.Second
	begin, events := time.Now(), ""
	for try := 0; try <= maxTakeUps; try++ {
		left := deadline - time.Since(begin)
		if left < 100*time.Millisecond {
			return events
		}
		q := request{
			node: (node + try) % nodeCount, id: id, method: http.MethodPost, path: "/stream/brief", key: "k1", deadline: left,
			header: map[string]string{"Case-Pieces": strconv.Itoa(pieces), "Case-Gap-Ms": strconv.Itoa(gapMs)},
		}
		if try > 0 {
			q.id = fmt.Sprintf("%s-%d", id, try)
		}
		if last := lastEvent(events); last > 0 {
			q.header["Resumes"], q.header["Last-Event-Id"] = id, strconv.Itoa(last)
		} else if try > 0 {
			return "" // an attempt without an event may not be repeated under this name
		}
		a := d.send(q)
		if a.status == http.StatusOK {
			if end := strings.LastIndex(a.body, "\n\n"); end >= 0 {
				events += a.body[:end+2]
			}
			if a.isComplete {
				return events
			}
		}
		wait := takeUpDelay
		if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			wait = time.Duration(seconds * float64(time.Second))
		}
		time.Sleep(wait)
	}
	return events
}
