package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// mixedVersions kills nodes while runners of two software versions serve, and the store comes back from a copy of before the newer
// version: first one node, then another one, then all. Each time another service gets a newer version. The callers take their
// streams up.
func mixedVersions(d *deployment) ([]string, error) {
	const (
		copyAge      = 5 * time.Second
		away         = 300 * time.Millisecond
		rewriteDelay = 1500 * time.Millisecond // of the runners' entries, after the store is back
	)
	killed := [][]int{{0}, {1}, {0, 1, 2}} // by round
	var routes, services []map[string]any
	for round := range killed {
		service := fmt.Sprintf("model-%d", round)
		services = append(services, map[string]any{"name": service, "maxConns": 370})
		routes = append(routes, map[string]any{
			"name": service, "host": callerHost, "pathPrefix": fmt.Sprintf("/stream/%d/", round), "kind": "streaming", "timeoutMs": 15000, "sloMs": 1000, "gapTargetMs": 300,
			"service": service, "attempts": 2, "resumable": true,
		})
	}
	d.writeConfig(map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits":  map[string]any{"maxBodyBytes": 4194304, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}}},
	})
	for round := range killed {
		if err := d.startModelRunners(round, "v1"); err != nil {
			return nil, err
		}
	}
	d.keepCopies()
	if err := d.start(); err != nil {
		return nil, err
	}
	var broken []string
	for round, nodes := range killed {
		time.Sleep(6 * time.Second)
		if err := d.startModelRunners(round, "v2"); err != nil {
			return nil, err
		}
		time.Sleep(1500 * time.Millisecond) // all nodes know both versions
		mixed := d.beginStreams(round, nodes[0])
		time.Sleep(1500 * time.Millisecond)
		if d.isTrouble {
			for _, n := range nodes {
				d.killNode(n)
			}
			d.restoreStore(copyAge, away, rewriteDelay, 0)
			for _, n := range nodes {
				if err := d.startNode(n, false); err != nil {
					return nil, err
				}
			}
		}
		broken = append(broken, mixed()...)
	}
	if len(broken) <= 2 { // the rule allows two
		return nil, nil
	}
	return broken, nil
}

// startModelRunners starts runners of one version of the service of a round.
func (d *deployment) startModelRunners(round int, version string) error {
	for _, zone := range zones {
		r := &runner{id: fmt.Sprintf("i-%d%s%s", round, version, zone[len(zone)-1:]), service: fmt.Sprintf("model-%d", round), zone: zone, version: version, slots: 64}
		if err := d.startRunner(r); err != nil {
			return err
		}
	}
	return nil
}

// beginStreams begins streams at a node, which their callers take up there and at the others. The returned function waits for their
// ends and describes those that hold events of two versions.
func (d *deployment) beginStreams(round, node int) func() []string {
	const streams = 24
	var (
		mu    sync.Mutex
		mixed []string
		group sync.WaitGroup
	)
	for i := range streams {
		group.Go(func() {
			id := fmt.Sprintf("q%d-%d", round, i)
			events := d.streamWithTakeUps(id, fmt.Sprintf("/stream/%d/brief", round), []int{node, i % nodeCount, (i + 1) % nodeCount, (i + 2) % nodeCount})
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(events, "by v1") && strings.Contains(events, "by v2") {
				mixed = append(mixed, fmt.Sprintf("ORDER: stream %s holds events of two software versions", id))
			}
		})
	}
	return func() []string {
		group.Wait()
		return mixed
	}
}

// takeUpDelay is how long after its connection broke a client takes a stream up.
const takeUpDelay = time.Second

// streamWithTakeUps asks a node for a stream and takes it up at the next nodes where it broke off, until it is complete or its tries
// are over. It returns all whole events that the client got.
func (d *deployment) streamWithTakeUps(id, path string, nodes []int) string {
	const (
		pieces, gapMs = 40, 100 // a stream takes 4 s
		deadline      = 15 * time.Second
	)
	begin, events := time.Now(), ""
	for try, node := range nodes {
		left := deadline - time.Since(begin)
		if left < 100*time.Millisecond {
			return events
		}
		q := request{
			node: node, id: id, method: http.MethodPost, path: path, key: "k1", deadline: left,
			header: map[string]string{"Case-Pieces": strconv.Itoa(pieces), "Case-Gap-Ms": strconv.Itoa(gapMs)},
		}
		if try > 0 {
			q.id = fmt.Sprintf("%s-%d", id, try)
		}
		if last := lastEvent(events); last > 0 {
			q.header["Resumes"], q.header["Last-Event-Id"] = id, strconv.Itoa(last)
		} else if try > 0 {
			return "" // nothing to take up
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
