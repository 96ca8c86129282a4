package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached a runner and is meant for it.
type arrival struct {
	at      time.Time
	runner  string
	attempt string
	path    string
}

// runner is a stand-in of a runner. Its handler writes the answer after the checks that every runner makes.
type runner struct {
	id, service, zone, version string
	slots                      int
	born                       int64
	address                    string // IP:port; empty for a free one
	listener                   net.Listener
	handle                     func(r *runner, w http.ResponseWriter, request *http.Request)
	onArrival                  func(a arrival)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// start opens the runner's socket and serves requests.
func (r *runner) start() error {
	var err error
	if r.address == "" {
		r.address = runnerIP + ":0"
	}
	if r.listener, err = net.Listen("tcp4", r.address); err != nil {
		return err
	}
	r.born, r.conns = time.Now().UnixMilli(), map[net.Conn]bool{}
	server := &http.Server{
		Handler: http.HandlerFunc(r.serve),
		ConnState: func(conn net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if state == http.StateClosed || state == http.StateHijacked {
				delete(r.conns, conn)
				return
			}
			r.conns[conn] = true
		},
	}
	go func() { _ = server.Serve(r.listener) }()
	return nil
}

// entry is what the runner writes of itself to the store.
func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": "ready", "coldLeftMs": 0, "callSeq": 0, "born": r.born,
	}
}

// crash ends the runner as the end of its process does: its port refuses connections, and its connections are closed.
func (r *runner) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", r.id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.onArrival(arrival{at: time.Now(), runner: r.id, attempt: attempt, path: request.URL.Path})
	r.handle(r, w, request)
}

// succeed writes a complete answer.
func (r *runner) succeed(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Response-Stamp", "stamp."+r.id+"."+request.Header.Get("X-Attempt-Id"))
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s by %s\n", request.URL.Path, r.id)
}

// stream writes the events of a stream after the one that the request names, with a pause before each.
func (r *runner) stream(w http.ResponseWriter, request *http.Request, events int, pause time.Duration) {
	w.Header().Set("X-Response-Stamp", "stamp."+r.id+"."+request.Header.Get("X-Attempt-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(strings.TrimSpace(request.Header.Get("Last-Event-Id"))); err == nil {
		first = last + 1
	}
	for i := first; i <= events; i++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(pause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, r.version, r.id, i)
		w.(http.Flusher).Flush()
	}
}
