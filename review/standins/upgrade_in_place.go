package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade-in-place"] = runUpgradeInPlace }

// runUpgradeInPlace lets all runners of a zone crash while streams run. They are back under their ids with another software version.
func runUpgradeInPlace(folder string) (bool, error) {
	const (
		streams   = 60
		events    = 96
		pause     = 130 * time.Millisecond
		deadline  = 15 * time.Second
		crashAt   = 4 * time.Second // after the begin of the streams, which would take 12.5 s
		downTime  = 2 * time.Second
		heartbeat = 1200 * time.Millisecond
	)
	l, err := newLab(folder, 3, 58)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.setConfig([]map[string]any{
		{"name": "order-brief", "host": hostName, "pathPrefix": "/brief/", "kind": "streaming", "resumable": true, "service": "brush-model", "attempts": 2, "timeoutMs": deadline.Milliseconds(), "sloMs": 1000, "gapTargetMs": 500, "priority": 1, "sticky": true},
		{"name": "stock-look", "host": hostName, "pathPrefix": "/stock/", "kind": "idempotent", "service": "order-desk", "attempts": 2, "timeoutMs": 1000, "sloMs": 150, "priority": 1},
	}, []map[string]any{{"name": "brush-model", "maxConns": 370, "engine": map[string]any{"slots": 64, "kvCapacity": 794212}}, {"name": "order-desk", "maxConns": 110}})
	newModel := func(version string, i int) *runner {
		r := &runner{id: fmt.Sprintf("i-brush-%d", i+1), service: "brush-model", zone: zones[0], version: version, slots: 64}
		r.handle = func(r *runner, w http.ResponseWriter, request *http.Request) { r.stream(w, request, events, pause) }
		return r
	}
	var old, desks []*runner
	for i := range zones {
		old = append(old, newModel("v1", i))
		desk := &runner{id: fmt.Sprintf("i-desk-%d", i+1), service: "order-desk", zone: zones[i], version: "v1", slots: 6}
		desk.handle = func(r *runner, w http.ResponseWriter, request *http.Request) {
			time.Sleep(30 * time.Millisecond)
			r.succeed(w, request)
		}
		if err := l.addRunner(desk); err != nil {
			return false, err
		}
		desks = append(desks, desk)
	}
	for _, r := range old {
		if err := l.addRunner(r); err != nil {
			return false, err
		}
	}
	if err := l.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	for i, r := range desks { // runners that have started a while ago and write what is left of their slow time
		go func() {
			time.Sleep(time.Duration(i) * heartbeat / time.Duration(len(desks)))
			for left := 30_000; left > 0; left -= int(heartbeat.Milliseconds()) {
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
				}
				entry := r.entry()
				entry["coldLeftMs"] = left
				l.store.set("servers", r.id, entry)
			}
		}()
	}
	wait := every(5, stop, func(i int) {
		l.send(l.nodes[i%len(l.nodes)], http.MethodGet, fmt.Sprintf("/stock/%d", i), l.newAttempt("look"), "", time.Second)
	})

	type stream struct {
		versions map[string]int // events by version
		lastID   int
	}
	// read sends an attempt at a stream and reads its events.
	read := func(s *stream, n *node, attempt, first string, end time.Time) (status int) {
		out := &request{attempt: attempt, node: n.name, path: "/brief/" + first, sentAt: time.Now()}
		l.mu.Lock()
		l.requests = append(l.requests, out)
		l.mu.Unlock()
		defer func() {
			l.mu.Lock()
			out.endedAt, out.status, out.isWhole = time.Now(), status, s.lastID == events
			l.mu.Unlock()
		}()
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		r, err := l.newRequest(ctx, n, http.MethodPost, "/brief/"+first, attempt, "a brief", time.Until(end))
		if err != nil {
			return 0
		}
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", "1460,400")
		r.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:660")
		if s.lastID > 0 {
			r.Header.Set("Last-Event-Id", fmt.Sprint(s.lastID))
			r.Header.Set("Resumes", first)
		}
		response, err := client.Do(r)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for id := 0; lines.Scan(); {
			if text, isID := strings.CutPrefix(lines.Text(), "id: "); isID {
				id, _ = strconv.Atoi(text)
			}
			if text, isData := strings.CutPrefix(lines.Text(), "data: "); isData {
				version, _, _ := strings.Cut(text, " ")
				s.versions[version]++
				s.lastID = id
			}
		}
		return response.StatusCode
	}
	var mu sync.Mutex
	mixed := 0
	var group sync.WaitGroup
	begin := time.Now()
	for i := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			s, end, first := &stream{versions: map[string]int{}}, time.Now().Add(deadline), l.newAttempt("brief")
			n := l.nodes[i%len(l.nodes)]
			status := read(s, n, first, first, end)
			for try := 0; try < 6 && s.lastID < events && time.Until(end) > time.Second; try++ {
				l.log("stream %s broke off at %s after event %d, status %d", first, n.name, s.lastID, status)
				n = l.nodes[(1+i+try)%len(l.nodes)]
				attempt := l.newAttempt("brief")
				from := s.lastID
				status = read(s, n, attempt, first, end)
				l.log("stream %s taken up as %s at %s after event %d: status %d, now after event %d", first, attempt, n.name, from, status, s.lastID)
				time.Sleep(500 * time.Millisecond)
			}
			l.log("stream %s has events by version: %s", first, toJSON(s.versions))
			mu.Lock()
			defer mu.Unlock()
			if len(s.versions) > 1 {
				mixed++
			}
		})
	}
	time.Sleep(time.Until(begin.Add(crashAt)))
	if l.hasTrouble {
		for _, r := range old {
			r.crash()
		}
		l.log("the runners of the zone crash")
		time.Sleep(downTime)
		for i, r := range old {
			next := newModel("v2", i)
			next.address = r.listener.Addr().String()
			if err := l.addRunner(next); err != nil {
				return false, err
			}
			l.log("%s is back, with version %s", next.id, next.version)
		}
	}
	group.Wait()
	close(stop)
	wait()
	l.log("streams with events of two versions: %d, allowed 2", mixed)
	l.logTraffic()
	return mixed > 2, nil
}
