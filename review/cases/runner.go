package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// runRunner is the runner stand-in: it prints its address and then a line for each request that it begins to run. What it answers
// follows from the path and from headers that the client sets and that a runner may get:
//
//	/plain/         200 with a body of Case-Pieces pieces
//	/stream/        an event stream of Case-Pieces events, from Last-Event-Id on
//	Case-Pieces     number of pieces or events, 1 if absent
//	Case-Gap-Ms     time before each of them
//
// The options of the runner, "" for none:
//
//	unframed=N      each Nth answer has neither a length nor chunks and ends with its connection
//	stop=N          each Nth stream stops in the middle of its event stopEvent, where its chunks end as those of a complete answer
func runRunner(id, version, options string) error {
	for _, option := range strings.Fields(options) {
		name, value, _ := strings.Cut(option, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		switch {
		case err == nil && name == "unframed":
			unframed.every = n
		case err == nil && name == "stop":
			stopped.every = n
		default:
			return fmt.Errorf("option %q", option)
		}
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveRunner(conn, id, version)
	}
}

// stopEvent is the event in which a stream stops.
const stopEvent = 5

// ordinals selects each Nth of what it is asked for; none if every is 0.
type ordinals struct {
	every int64
	count atomic.Int64
}

func (o *ordinals) selects() bool { return o.every > 0 && o.count.Add(1)%o.every == 0 }

var unframed, stopped ordinals

func serveRunner(conn net.Conn, id, version string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !answerRequest(conn, r, id, version) {
			return
		}
	}
}

// answerRequest answers one request and reports whether the connection stays open.
func answerRequest(conn net.Conn, r *http.Request, id, version string) bool {
	attempt := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, id)
		return true
	}
	pieces, gap := max(number(r, "Case-Pieces"), 1), time.Duration(number(r, "Case-Gap-Ms"))*time.Millisecond
	isStream := strings.HasPrefix(r.URL.Path, "/stream/")
	isChunked := !unframed.selects()
	stop := 0
	if isStream && r.Header.Get("Last-Event-Id") == "" && stopped.selects() {
		stop = stopEvent
	}
	fmt.Fprintf(os.Stdout, "runs %s %s of tenant %q from event %q, with chunks %v\n", attempt, r.URL.Path, r.Header.Get("X-Tenant"), r.Header.Get("Last-Event-Id"), isChunked)
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\n", attempt, id, attempt)
	if isStream {
		head.WriteString("Content-Type: text/event-stream\r\n")
	}
	if isChunked {
		head.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		head.WriteString("Connection: close\r\n")
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"); err != nil {
		return false
	}
	write := func(text string) error {
		if isChunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(conn, text)
		return err
	}
	first := 1
	if isStream {
		first = number(r, "Last-Event-Id") + 1
	}
	for i := first; i <= pieces; i++ {
		time.Sleep(gap)
		text := fmt.Sprintf("piece %d of %d;", i, pieces)
		if isStream {
			text = fmt.Sprintf("id: %d\ndata: event %d of %d by %s\n\n", i, i, pieces, version)
		}
		if i == stop {
			fmt.Fprintf(os.Stdout, "stops %s in the middle of event %d\n", attempt, i)
			_ = write(text[:len(text)/2])
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return true
		}
		if err := write(text); err != nil {
			fmt.Fprintf(os.Stdout, "ends %s before piece %d: its connection is closed\n", attempt, i)
			return false
		}
	}
	fmt.Fprintf(os.Stdout, "ends %s after piece %d\n", attempt, pieces)
	if isChunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	return false
}

func number(r *http.Request, header string) int {
	n, _ := strconv.Atoi(r.Header.Get(header))
	return n
}
