package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["repeated-crash"] = runRepeatedCrash }

// runRepeatedCrash sends a request that crashes each runner that begins to run it once in 16 s.
func runRepeatedCrash(folder string) (bool, error) {
	const (
		runners     = 3
		interval    = 16 * time.Second
		sends       = 7
		workTime    = 100 * time.Millisecond
		backAfter   = 4 * time.Second
		lapseAfter  = 3600 * time.Millisecond // three heartbeats
		contactTime = 3 * time.Second
		harmfulPath = "/claims/batch-77"
		harmfulBody = "claim batch 77"
		maxRetries  = 3
	)
	l, err := newLab(folder, 3, 58)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.setConfig([]map[string]any{
		{"name": "batch-claim", "host": hostName, "pathPrefix": "/claims/", "kind": "non_idempotent", "service": "order-desk", "attempts": 2, "timeoutMs": 1000, "sloMs": 150, "priority": 1},
		{"name": "stock-look", "host": hostName, "pathPrefix": "/stock/", "kind": "idempotent", "service": "order-desk", "attempts": 2, "timeoutMs": 1000, "sloMs": 150, "priority": 1},
	}, []map[string]any{{"name": "order-desk", "maxConns": 110}})

	var mu sync.Mutex
	var crashes []time.Time
	number := 0
	var add func(zone string) error
	handle := func(r *runner, w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		time.Sleep(workTime)
		if !l.hasTrouble || request.URL.Path != harmfulPath || string(body) != harmfulBody {
			r.succeed(w, request)
			return
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		l.log("runner %s crashes on %s", r.id, request.Header.Get("X-Attempt-Id"))
		r.crash()
		time.AfterFunc(lapseAfter, func() { l.store.remove("servers", r.id) })
		time.AfterFunc(backAfter, func() { _ = add(r.zone) })
		panic(http.ErrAbortHandler)
	}
	add = func(zone string) error {
		mu.Lock()
		number++
		id := fmt.Sprintf("i-desk-%d", number)
		mu.Unlock()
		l.log("runner %s starts", id)
		return l.addRunner(&runner{id: id, service: "order-desk", zone: zone, version: "v1", slots: 6, handle: handle})
	}
	for i := range runners {
		if err := add(zones[i]); err != nil {
			return false, err
		}
	}
	if err := l.start(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	wait := every(40, stop, func(i int) {
		n := l.nodes[i%len(l.nodes)]
		if i%2 == 0 {
			l.send(n, http.MethodPost, fmt.Sprintf("/claims/batch-%d", 1000+i), l.newAttempt("claim"), "claim", time.Second)
		} else {
			l.send(n, http.MethodGet, fmt.Sprintf("/stock/%d", i), l.newAttempt("look"), "", time.Second)
		}
	})
	var harmful []*request
	begin := time.Now()
	for i := range sends {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * interval)))
		r := l.send(l.nodes[i%len(l.nodes)], http.MethodPost, harmfulPath, l.newAttempt("batch-77"), harmfulBody, time.Second)
		l.log("%s sent to %s: status %d", r.attempt, r.node, r.status)
		harmful = append(harmful, r)
	}
	time.Sleep(time.Second)
	close(stop)
	wait()

	arrived := map[string]bool{}
	l.mu.Lock()
	for _, a := range l.arrivals {
		arrived[a.attempt] = true
	}
	l.mu.Unlock()
	retries := 0
	if len(crashes) >= 3 {
		for _, r := range harmful {
			if r.sentAt.After(crashes[2].Add(contactTime)) && arrived[r.attempt] {
				retries++
			}
		}
	}
	lost := 0
	for _, r := range l.requests {
		if r.path != harmfulPath && r.status != http.StatusOK {
			lost++
		}
	}
	l.log("crashes: %d; retries that reached a runner later than contactMs after the third: %d, allowed %d; other requests without success: %d of %d",
		len(crashes), retries, maxRetries, lost, len(l.requests)-len(harmful))
	l.logTraffic()
	return retries > maxRetries, nil
}
