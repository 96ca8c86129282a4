package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client, on a connection of its own.
type request struct {
	node     int
	id       string
	method   string
	path     string
	key      string // of the tenant; empty for none
	deadline time.Duration
	header   map[string]string
}

// answer is what a client got for a request.
type answer struct {
	status     int
	header     http.Header
	body       string
	isComplete bool // the answer ended as HTTP/1.1 tells, not by a cut
	problem    string
	sentAt     time.Time
	took       time.Duration
}

const callerHost = "app.example"

// send sends a request and reads the answer to its end.
func (d *deployment) send(q request) (a answer) {
	a.sentAt = time.Now()
	defer func() {
		a.took = time.Since(a.sentAt)
		d.record.linef("client: %s %s %s at front-%d: status %d, %d bytes, complete %v, %d ms %s", q.id, q.method, q.path, q.node, a.status, len(a.body), a.isComplete, a.took.Milliseconds(), a.problem)
	}()
	conn, err := net.DialTimeout("tcp4", d.address(q.node, 0), time.Second)
	if err != nil {
		a.problem = "no connection"
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, callerHost, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", q.key)
	}
	for name, value := range q.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		head.WriteString("Content-Length: 2\r\n\r\n{}")
	} else {
		head.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, head.String()); err != nil {
		a.problem = "request not sent"
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		a.problem = "no answer: " + shortError(err)
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	raw, err := io.ReadAll(response.Body)
	a.body, a.isComplete = string(raw), err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	if err != nil {
		a.problem = "answer is cut: " + shortError(err)
	}
	return a
}

func shortError(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

// lastEvent returns the id of the last whole event in a stream, 0 if there is none.
func lastEvent(body string) int {
	last := 0
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			continue
		}
		for _, line := range strings.Split(event, "\n") {
			if id, isID := strings.CutPrefix(line, "id: "); isID {
				last, _ = strconv.Atoi(id)
			}
		}
	}
	return last
}
