package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["many-parts"] = runManyParts }

// runManyParts sends requests that are legal in size and have very many short parts in X-Prompt-Prefix. A process that exceeds the
// memory of its machine is killed and started again, as the platform does.
func runManyParts(folder string) (bool, error) {
	const (
		perSecond   = 100 // for each node
		connections = 10  // for each node
		headerBytes = 14_000
		length      = 75 * time.Second
		restart     = 500 * time.Millisecond
		maxEnds     = 3 // on two machines
	)
	l, err := newLab(folder, 3, 58)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.memoryMB = 184 // the smallest machine on the sheets in grown/
	l.tokensPerS = 36_000
	l.setConfig([]map[string]any{
		{"name": "colour-ask", "host": hostName, "pathPrefix": "/colour/", "kind": "streaming", "resumable": true, "service": "brush-model", "attempts": 2, "timeoutMs": 3000, "sloMs": 500, "gapTargetMs": 300, "priority": 0, "sticky": true},
	}, []map[string]any{{"name": "brush-model", "maxConns": 370, "engine": map[string]any{"slots": 64, "kvCapacity": 794212}}})
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-brush-%d", i+1), service: "brush-model", zone: zones[i], version: "v1", slots: 64}
		r.handle = func(r *runner, w http.ResponseWriter, request *http.Request) {
			r.stream(w, request, 3, 5*time.Millisecond)
		}
		if err := l.addRunner(r); err != nil {
			return false, err
		}
	}
	if err := l.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(length)
	pace := time.Second * connections / perSecond // between two requests on a connection

	// prefix returns a prompt's parts, which no two prompts share, for a misbehaving client, else three parts.
	prefix := func(n int) string {
		if !l.hasTrouble {
			return fmt.Sprintf("5c1e07a2:568,91bd3f06:800,%x:1000", n)
		}
		var b strings.Builder
		for i := 0; b.Len() < headerBytes; i++ {
			fmt.Fprintf(&b, "%x:1,", (n<<11|i)&0xffffffff)
		}
		return strings.TrimSuffix(b.String(), ",")
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, answered := map[string]int{}, map[string]int{}
	for k, n := range l.nodes {
		for c := range connections {
			group.Go(func() {
				var conn net.Conn
				var reader *bufio.Reader
				for i := 0; time.Now().Before(end); i++ {
					began := time.Now()
					if conn == nil {
						var err error
						if conn, err = net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", n.ip, l.ports.front), time.Second); err != nil {
							conn = nil
							time.Sleep(200 * time.Millisecond)
							continue
						}
						reader = bufio.NewReader(conn)
					}
					mu.Lock()
					sent[n.name]++
					mu.Unlock()
					attempt := fmt.Sprintf("ask-%d-%d-%d", k, c, i)
					_, _ = fmt.Fprintf(conn, "POST /colour/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 8,24\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: 3\r\n\r\nask",
						hostName, attempt, prefix((k*connections+c)<<14|i), apiKey)
					_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
					response, err := http.ReadResponse(reader, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, response.Body)
						if err == nil && response.StatusCode == http.StatusOK {
							mu.Lock()
							answered[n.name]++
							mu.Unlock()
						}
					}
					if err != nil || response.Close {
						_ = conn.Close()
						conn = nil
					}
					time.Sleep(pace - time.Since(began))
				}
			})
		}
	}
	ends, peaks := map[string]int{}, map[string]int{}
	for nextLog := time.Now(); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		isLogDue := time.Now().After(nextLog)
		if isLogDue {
			nextLog = nextLog.Add(2 * time.Second)
		}
		for _, n := range l.nodes {
			used := residentMB(n.process.Process.Pid)
			peaks[n.name] = max(peaks[n.name], used)
			if isLogDue {
				l.log("%s has %d MB", n.name, used)
			}
			select {
			case <-n.exited:
				l.log("%s has ended by itself", n.name)
			default:
				if used <= l.memoryMB {
					continue
				}
				l.log("%s has %d MB, more than the %d MB of its machine", n.name, used, l.memoryMB)
				l.kill(n)
			}
			ends[n.name]++
			time.Sleep(restart)
			if err := l.startNode(n, false); err != nil {
				return false, err
			}
		}
	}
	group.Wait()
	machines := 0
	for _, n := range l.nodes {
		if ends[n.name] >= maxEnds {
			machines++
		}
		l.log("%s: %d requests sent, %d answered with 200; most memory %d MB of %d; ends: %d", n.name, sent[n.name], answered[n.name], peaks[n.name], l.memoryMB, ends[n.name])
	}
	l.log("machines on which the process ended three times or more for its memory: %d, allowed 1", machines)
	return machines > 1, nil
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(raw), &size, &resident)
	return resident * os.Getpagesize() >> 20
}
