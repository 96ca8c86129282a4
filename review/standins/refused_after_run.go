package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["refused-after-run"] = runRefusedAfterRun }

// runRefusedAfterRun lets one of three runners fail a part of the requests that it has run, with status 503, no X-Not-Executed and
// a long body, while its other answers are good.
func runRefusedAfterRun(folder string) (bool, error) {
	const (
		perSecond = 30.0
		failEach  = 3 // one in three requests of the failing runner: 0.33 of them
		workTime  = 30 * time.Millisecond
		bodyBytes = 100_000
		failTime  = 5 * time.Second
	)
	l, err := newLab(folder, 3, 58)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.setConfig([]map[string]any{
		{"name": "batch-claim", "host": hostName, "pathPrefix": "/claims/", "kind": "non_idempotent", "service": "order-desk", "attempts": 2, "timeoutMs": 1000, "sloMs": 150, "priority": 1},
	}, []map[string]any{{"name": "order-desk", "maxConns": 110}})
	var mu sync.Mutex
	isFailing, count := false, 0
	deposits := map[string]int{}        // by path: how often the deposit was charged
	failedAfterRun := map[string]bool{} // by attempt
	failure := strings.Repeat("deposit was charged, but writing the receipt failed\n", bodyBytes/52)
	for i, zone := range zones {
		r := &runner{id: fmt.Sprintf("i-desk-%d", i+1), service: "order-desk", zone: zone, version: "v1", slots: 6}
		r.handle = func(r *runner, w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			time.Sleep(workTime)
			mu.Lock()
			deposits[request.URL.Path]++
			fails := false
			if isFailing && r.id == "i-desk-1" {
				count++
				fails = count%failEach == 0
			}
			if fails {
				failedAfterRun[request.Header.Get("X-Attempt-Id")] = true
			}
			mu.Unlock()
			if !fails {
				r.succeed(w, request)
				return
			}
			w.Header().Set("X-Response-Stamp", "stamp."+r.id+"."+request.Header.Get("X-Attempt-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, failure)
		}
		if err := l.addRunner(r); err != nil {
			return false, err
		}
	}
	if err := l.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	refused := map[string]int{}
	stop := make(chan struct{})
	wait := every(perSecond, stop, func(i int) {
		path := fmt.Sprintf("/claims/batch-%d", i)
		for try := range 2 { // clients come back after a promise that the request has not run, once
			out := l.send(l.nodes[(i+try)%len(l.nodes)], http.MethodPost, path, l.newAttempt("claim"), "claim", time.Second)
			if out.status != http.StatusServiceUnavailable && out.status != http.StatusTooManyRequests {
				return
			}
			mu.Lock()
			refused[out.attempt] = out.status
			mu.Unlock()
		}
	})
	time.Sleep(3 * time.Second)
	setFailing := func(fails bool) {
		mu.Lock()
		defer mu.Unlock()
		isFailing = fails && l.hasTrouble
		l.log("runner i-desk-1 fails a part of the requests that it has run: %v", isFailing)
	}
	setFailing(true)
	time.Sleep(failTime)
	setFailing(false)
	time.Sleep(2 * time.Second)
	close(stop)
	wait()

	broken, twice := 0, 0
	for attempt, status := range refused {
		if failedAfterRun[attempt] {
			broken++
			l.log("attempt %s was answered %d, though a runner had run it", attempt, status)
		}
	}
	for path, n := range deposits {
		if n > 1 {
			twice++
			l.log("%s was charged %d times", path, n)
		}
	}
	l.log("requests that runners failed after they had run them: %d; of these answered 429 or 503: %d, allowed 0; batches charged more than once: %d", len(failedAfterRun), broken, twice)
	l.logTraffic()
	return broken > 0, nil
}
