package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id         string
	status     int
	body       string
	lastEvent  int
	isComplete bool // the framing of the answer ended in order
	err        error
	gap        time.Duration // longest time without bytes
	sentAt     time.Time
	retryAfter string
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, %d bytes, last event %d, complete %t, longest gap %d ms, error %v", a.id, a.status, len(a.body), a.lastEvent, a.isComplete, a.gap.Milliseconds(), a.err)
}

// request is what a client sends.
type request struct {
	method, path, id string
	deadline         time.Duration
	maxGap           time.Duration // after which the client leaves; 0 for never
	header           map[string]string
	body             string
	key              string
}

// send sends a request on a connection of its own and reads the answer.
func (s *system) send(n *nodeProcess, r request) answer {
	a := answer{id: r.id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.front()+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "wuny96.example"
	key := r.key
	if key == "" {
		key = "key1"
	}
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+key)
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	s.record.printf("client sends %s %s %s to %s", r.method, r.path, r.id, n.name)
	response, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		s.record.printf("client got %s", a)
		return a
	}
	defer response.Body.Close()
	a.status, a.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	reader := bufio.NewReader(response.Body)
	lastAt := time.Now()
	var text strings.Builder
	for {
		line, err := reader.ReadString('\n')
		a.gap = max(a.gap, time.Since(lastAt))
		lastAt = time.Now()
		text.WriteString(line)
		if id, isID := strings.CutPrefix(strings.TrimSpace(line), "id: "); isID {
			a.lastEvent, _ = strconv.Atoi(id)
		}
		if err != nil {
			a.isComplete = err == io.EOF
			if err != io.EOF {
				a.err = err
			}
			break
		}
	}
	a.body = text.String()
	s.record.printf("client got %s", a)
	return a
}
