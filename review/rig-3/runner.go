package main

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runnerProcess is a runner that the script started as a process of its own, so that its end is that of a process.
type runnerProcess struct {
	id, service, zone, address, version string
	born                                int64         // Unix milliseconds of the first registration
	slowFor                             time.Duration // from then on
	command                             *exec.Cmd
	exited                              chan struct{}
	lines                               chan string

	mu   sync.Mutex
	runs []run
}

// run is a request that a runner began to run.
type run struct {
	attempt, tenant string
	at              time.Time
}

// runs returns what all runners of the script have run.
func (s *system) runs() []run {
	var list []run
	for _, r := range s.runners {
		r.mu.Lock()
		list = append(list, r.runs...)
		r.mu.Unlock()
	}
	return list
}

// startRunner starts a runner on an address, port 0 for a free one, and waits until it listens. args are further flags of
// runRunner.
func (s *system) startRunner(id, service, zone, address string, args ...string) (*runnerProcess, error) {
	r := &runnerProcess{id: id, service: service, zone: zone, version: "v1", exited: make(chan struct{})}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r.command = exec.Command(program, append([]string{"runner", "--id", id, "--address", address}, args...)...)
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.command.Stderr = os.Stderr
	out, err := r.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	s.runners = append(s.runners, r)
	scanner := bufio.NewScanner(out)
	if !scanner.Scan() {
		return nil, fmt.Errorf("runner %s did not start", id)
	}
	r.address = strings.TrimPrefix(scanner.Text(), "listens ")
	go func() {
		for scanner.Scan() {
			line := scanner.Text()
			s.record.printf("runner %s: %s", id, line)
			var begun run
			var after int
			if _, err := fmt.Sscanf(line, "runs %s after event %d for tenant %q", &begun.attempt, &after, &begun.tenant); err == nil {
				begun.at = time.Now()
				r.mu.Lock()
				r.runs = append(r.runs, begun)
				r.mu.Unlock()
			}
		}
		_ = r.command.Wait()
		close(r.exited)
	}()
	return r, nil
}

func (r *runnerProcess) kill() {
	_ = r.command.Process.Signal(syscall.SIGKILL)
	<-r.exited
}

// silentEntryTime is how long the store keeps the entry of a silent runner: three heartbeats of 1.2 s.
const silentEntryTime = 3600 * time.Millisecond

// crash kills a runner. The store removes its entry later, unless a runner with its id has registered since.
func (s *system) crash(r *runnerProcess) {
	s.record.printf("runner %s is killed", r.id)
	r.kill()
	registrations := s.registrations(r.id)
	time.AfterFunc(silentEntryTime, func() {
		if s.registrations(r.id) == registrations {
			s.store.Delete("servers", r.id)
		}
	})
}

// registrations returns how often a runner with an id has registered.
func (s *system) registrations(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered[id]
}

// register writes the entry of a runner to the store.
func (s *system) register(r *runnerProcess, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered[r.id]++
	if r.born == 0 {
		r.born = time.Now().UnixMilli()
	}
	slowLeft := max(r.slowFor-time.Since(time.UnixMilli(r.born)), 0)
	s.store.Set("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": state, "coldLeftMs": slowLeft.Milliseconds(), "callSeq": 1, "born": r.born,
	})
}

// heartbeatInterval is the pause between two writes of a runner.
const heartbeatInterval = 1200 * time.Millisecond

// sendHeartbeats writes the entry of a runner that starts slowly again and again, as long as it changes, until stop is closed.
func (s *system) sendHeartbeats(r *runnerProcess, stop <-chan struct{}) {
	time.Sleep(rand.N(heartbeatInterval))
	for time.Since(time.UnixMilli(r.born)) < r.slowFor {
		s.register(r, "ready")
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// runRunner is a runner. It answers /brief/ and /ask/ with event streams, and all else with a body of 800 bytes. Its answers have
// neither a length nor chunks and end with their connections.
func runRunner(args []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "")
	address := flags.String("address", "127.0.0.1:0", "")
	events := flags.Int("events", 96, "")
	gap := flags.Duration("gap", 40*time.Millisecond, "")
	resetAfter := flags.Int("reset-after", 0, "resets the connections of half of the streams after so many events, 0 for never")
	resetDelay := flags.Duration("reset-delay", 500*time.Millisecond, "silence before that reset")
	version := flags.String("version", "v1", "of the software; part of each event")
	resetBody := flags.Bool("reset-body", false, "sends half of the body of half of the plain answers, and resets the connection after the delay")
	_ = flags.Parse(args)
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp4", *address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("listens " + listener.Addr().String())
	for {
		conn, err := listener.Accept()
		if err != nil {
			continue
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			attempt := request.Header.Get("X-Attempt-Id")
			body := make([]byte, max(request.ContentLength, 0))
			for read := 0; read < len(body); {
				n, err := request.Body.Read(body[read:])
				if read += n; err != nil {
					break
				}
			}
			if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != *id {
				fmt.Printf("refuses %s: expects %s\n", attempt, expected)
				fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
				return
			}
			isReset := attempt != "" && attempt[len(attempt)-1]%2 == 1
			last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			fmt.Printf("runs %s after event %d for tenant %q\n", attempt, last, request.Header.Get("X-Tenant"))
			head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: stamp-" + attempt + "\r\nX-Weight-Versions: 1\r\nConnection: close\r\n"
			if !strings.HasPrefix(request.URL.Path, "/brief/") && !strings.HasPrefix(request.URL.Path, "/ask/") {
				text := strings.Repeat("0123456789", 80)
				fmt.Fprint(conn, head+"\r\n")
				if *resetBody && isReset {
					fmt.Fprint(conn, text[:len(text)/2])
					time.Sleep(*resetDelay)
					reset(conn)
					fmt.Printf("reset %s after %d bytes\n", attempt, len(text)/2)
					return
				}
				fmt.Fprint(conn, text)
				fmt.Printf("ends %s\n", attempt)
				return
			}
			fmt.Fprint(conn, head+"Content-Type: text/event-stream\r\n\r\n")
			for i := last + 1; i <= *events; i++ {
				if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s token-%d\n\n", i, *version, i); err != nil {
					fmt.Printf("stops %s at event %d\n", attempt, i)
					return
				}
				if isReset && *resetAfter > 0 && i-last >= *resetAfter {
					time.Sleep(*resetDelay)
					reset(conn)
					fmt.Printf("reset %s after event %d\n", attempt, i)
					return
				}
				time.Sleep(*gap)
			}
			fmt.Printf("ends %s\n", attempt)
		}()
	}
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
