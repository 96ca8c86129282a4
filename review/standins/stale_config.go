package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// proxy forwards the connections of one node to the store. While it is cut, nothing passes in either direction, and nobody is told.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	isCut    bool
	changed  chan struct{}
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
	close(p.changed)
	p.changed = make(chan struct{})
}

// await waits until the proxy is not cut.
func (p *proxy) await() {
	for {
		p.mu.Lock()
		isCut, changed := p.isCut, p.changed
		p.mu.Unlock()
		if !isCut {
			return
		}
		<-changed
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	p.await()
	store, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer store.Close()
	forward := func(to, from net.Conn) {
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			p.await()
			if _, writeErr := to.Write(b[:n]); err != nil || writeErr != nil {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
		}
	}
	go forward(store, conn)
	forward(conn, store)
}

func init() { cases["stale-config"] = runStaleConfig }

// runStaleConfig partitions two nodes from the store while the operator moves a route from service to service.
func runStaleConfig(folder string) (bool, error) {
	const (
		nodes       = 6
		cutNodes    = 2
		versions    = 30
		gap         = 330 * time.Millisecond
		cutTime     = 5500 * time.Millisecond
		applyTime   = 2 * time.Second
		contactTime = 3 * time.Second
		perSecond   = 25.0 // for each node
		workTime    = 5 * time.Millisecond
	)
	l, err := newLab(folder, nodes, 58)
	if err != nil {
		return false, err
	}
	defer l.close()
	var proxies []*proxy
	for i, n := range l.nodes {
		p, err := newProxy(fmt.Sprintf("127.0.7.%d:0", i+1), l.store.address())
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		n.storeAddress = p.listener.Addr().String()
	}
	services := []map[string]any{}
	for v := range versions + 1 {
		service := fmt.Sprintf("desk-%d", v)
		services = append(services, map[string]any{"name": service, "maxConns": 110})
		r := &runner{id: "i-" + service, service: service, zone: zones[v%3], version: "v1", slots: 6}
		r.handle = func(r *runner, w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			time.Sleep(workTime)
			r.succeed(w, request)
		}
		if err := l.addRunner(r); err != nil {
			return false, err
		}
	}
	acknowledged := make([]time.Time, versions+1) // by number of the service that the route has moved to
	move := func(v int) {
		l.store.set("config", "main", map[string]any{
			"version": 3 + 2*v, "services": services,
			"routes": []map[string]any{{"name": "batch-claim", "host": hostName, "pathPrefix": "/claims/", "kind": "non_idempotent", "service": fmt.Sprintf("desk-%d", v),
				"attempts": 2, "timeoutMs": 1000, "sloMs": 150, "priority": 1}},
			"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants": []map[string]any{{"name": "workshops", "apiKeys": []string{apiKey}}},
		})
		acknowledged[v] = time.Now()
		l.log("version %d is acknowledged: the route moves to desk-%d", 3+2*v, v)
	}
	move(0)
	if err := l.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	wait := every(perSecond*nodes, stop, func(i int) {
		l.send(l.nodes[i%nodes], http.MethodPost, fmt.Sprintf("/claims/batch-%d", i), l.newAttempt("claim"), "claim", time.Second)
	})
	time.Sleep(time.Second)
	// Nodes do their work for all in the order of their names.
	first := append([]*node{}, l.nodes...)
	for i := range first {
		for j := i + 1; j < len(first); j++ {
			if first[j].name < first[i].name {
				first[i], first[j] = first[j], first[i]
			}
		}
	}
	cut := map[string]bool{}
	for _, n := range first[:cutNodes] {
		cut[n.name] = true
	}
	setCut := func(isCut bool) {
		for i, n := range l.nodes {
			if cut[n.name] && l.hasTrouble {
				proxies[i].setCut(isCut)
				l.log("%s is partitioned from the store: %v", n.name, isCut)
			}
		}
	}
	for v := 1; v <= versions; v++ {
		move(v)
		if v == 4 {
			setCut(true)
			time.AfterFunc(cutTime, func() { setCut(false) })
		}
		time.Sleep(gap)
	}
	time.Sleep(contactTime)
	close(stop)
	wait()
	for _, p := range proxies {
		p.setCut(false)
	}

	sent := map[string]*request{}
	for _, r := range l.requests {
		sent[r.attempt] = r
	}
	broken := map[string]int{}
	worst := time.Duration(0)
	for _, a := range l.arrivals {
		r := sent[a.attempt]
		var ran int
		if _, err := fmt.Sscan(strings.TrimPrefix(a.runner, "i-desk-"), &ran); err != nil || r == nil || cut[r.node] || ran == versions {
			continue
		}
		// The next version, acknowledged longer than applyTime before the request was sent, does not allow this service.
		if late := r.sentAt.Sub(acknowledged[ran+1]); late > applyTime {
			broken[r.node]++
			worst = max(worst, late)
			l.log("%s, sent to %s, ran at desk-%d %.3f s after the acknowledgement of the version that moved the route away", a.attempt, r.node, ran, late.Seconds())
		}
	}
	total := 0
	for _, n := range broken {
		total += n
	}
	l.log("requests that nodes in touch handled as only an older version allows, sent later than %s after the acknowledgement: %d, at the latest %.3f s after it; by node %s; allowed 0", applyTime, total, worst.Seconds(), toJSON(broken))
	l.logTraffic()
	return total > 0, nil
}
