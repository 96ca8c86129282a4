package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/outcome"
)

// failure is a response of a backend server that has run a request. extra holds further header lines.
type failure struct {
	status   int
	extra    string
	body     string
	framing  framing
	isBroken bool // the connection is reset before the end
}

func (f failure) String() string {
	return fmt.Sprintf("%d with %d bytes by %s, broken %t", f.status, len(f.body), f.framing, f.isBroken)
}

// send writes the response. It returns false, which ends the connection, unless the response leaves it open.
func (f failure) send(conn net.Conn, r *http.Request) bool {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Rudder-Request: %s\r\nX-Rudder-Signature: sig\r\n%s", f.status, r.Header.Get("X-Rudder-Request"), f.extra)
	switch f.framing {
	case framedByLength:
		length := len(f.body)
		if f.isBroken {
			length += 10
		}
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, length, f.body)
	case framedByChunks:
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		if f.body != "" {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(f.body), f.body)
		}
		if !f.isBroken {
			fmt.Fprint(conn, lastChunk)
		}
	case framedByConnection:
		fmt.Fprintf(conn, "%s\r\n%s", head, f.body)
	}
	if f.isBroken {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return !f.isBroken && f.framing != framedByConnection
}

// failures returns responses with the given statuses and with bodies around the size up to which they are buffered.
func failures(statuses ...int) []failure {
	var list []failure
	for _, status := range statuses {
		for _, size := range []int{0, 100, maxBufferedBytes, maxBufferedBytes + 1, 3 * maxBufferedBytes} {
			for _, f := range []framing{framedByLength, framedByChunks, framedByConnection} {
				for _, isBroken := range []bool{false, true} {
					list = append(list, failure{status: status, body: strings.Repeat("x", size), framing: f, isBroken: isBroken})
				}
			}
		}
	}
	return list
}

// failingServers adds two backend servers. The first request that reaches one of them gets the response f, later ones too if allFail
// is set; otherwise these succeed. It returns the number of requests that reached them.
func (h *harness) failingServers(f failure, allFail bool) *atomic.Int64 {
	h.t.Helper()
	var requests atomic.Int64
	for _, name := range []string{"a", "b"} {
		h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
			if requests.Add(1) > 1 && !allFail {
				return succeed(conn, r)
			}
			return f.send(conn, r)
		})
	}
	return &requests
}

// Guards against an answer which says that a request has not run although a server has run it, so that its caller sends it again
// and it takes effect twice: the status alone decides, whatever the body, its framing and its end are.
func TestStatusThatDeniesTheRunIsNotForwarded(t *testing.T) {
	for _, f := range failures(http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable) {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resumable/x"} {
			isRepeatable := path == "/safe/x" || path == "/resumable/x"
			for _, allFail := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%v/all fail %t", path, f, allFail), func(t *testing.T) {
					t.Parallel()
					h := newHarness(t)
					runs := h.failingServers(f, allFail)
					wantStatus, wantRuns := http.StatusBadGateway, int64(1)
					if isRepeatable {
						wantRuns = 2
						if !allFail {
							wantStatus = http.StatusOK
						}
					}
					got := h.get(path)
					if got.status != wantStatus || got.err != nil || runs.Load() != wantRuns {
						t.Errorf("status %d, error %v after %d runs, want %d after %d", got.status, got.err, runs.Load(), wantStatus, wantRuns)
					}
					if wantStatus == http.StatusBadGateway && (got.header.Get("X-Rudder-Signature") != "" || got.header.Get(headerRetryAfter) != "") {
						t.Errorf("header %v of the node's own answer, want no signature and no Retry-After", got.header)
					}
				})
			}
		}
	}
}

// Guards against an answer which says that a request has not run because its second attempt has not, whatever the first one did.
func TestRefusalAfterUnknownOutcomeDeniesNoRun(t *testing.T) {
	const maxConfigAge = 3 * time.Second
	for name, refuse := range map[string]func(h *harness){
		"refused as not run":     func(*harness) {},
		"misdirected":            func(*harness) {},
		"no further server":      func(h *harness) { h.server.Backends.Replace([]backend.Entry{}) },
		"retry budget exhausted": func(h *harness) { h.server.SetNodeCount(1 << 20) },
		"node is stopping":       func(h *harness) { h.server.RefuseRequestsFrom(boottime.Now()) },
		"configuration is stale": func(*harness) { time.Sleep(maxConfigAge + 100*time.Millisecond) },
		"API key revoked": func(h *harness) {
			config := *h.config
			config.Version, config.Organisations = 2, nil
			config.BuildIndex()
			h.server.Current.Apply(&config)
			h.server.Current.ConfirmNewest(2, boottime.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.server.StalenessLimits.Send = maxConfigAge
			for _, route := range h.config.Routes {
				route.Timeout, route.LatencyObjective = time.Minute, 30*time.Second // the first server is awaited
			}
			var sends atomic.Int64
			for _, server := range []string{"a", "b"} {
				h.backendServer(server, func(conn net.Conn, r *http.Request) bool {
					if sends.Add(1) == 1 {
						refuse(h)
						return false
					}
					if name == "misdirected" {
						return respond(conn, r, http.StatusMisdirectedRequest, "", "")
					}
					return refuseNotRun(conn, r)
				})
			}
			if got := h.call(context.Background(), http.MethodGet, "/safe/x", "", http.Header{"X-Rudder-Timeout-Ms": {"50000"}}); got.status < 500 || outcome.ImpliesNotRun(got.status) {
				t.Errorf("status %d, error %v after an attempt with unknown outcome and %d sends, want 502 or 504", got.status, got.err, sends.Load())
			}
		})
	}
}

// Guards against a request that runs twice because its server sent the not-run header with a response that is no refusal, and
// against refusals that are not believed because their body is broken.
func TestNotRunHeaderCountsOnRefusalsOnly(t *testing.T) {
	for _, c := range []struct {
		status    int
		isRefusal bool
	}{{200, false}, {204, false}, {302, false}, {400, true}, {421, true}, {429, true}, {500, true}, {503, true}, {504, true}} {
		for _, f := range failures(c.status) {
			if c.status == http.StatusNoContent && f.body != "" {
				continue
			}
			f.extra = "X-Rudder-Not-Run: 1\r\n"
			t.Run(f.String(), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				sends := h.failingServers(f, false)
				wantStatus, wantSends := http.StatusBadGateway, int64(1)
				if c.isRefusal {
					wantStatus, wantSends = http.StatusOK, 2
				}
				if got := h.get("/once/x"); got.status != wantStatus || sends.Load() != wantSends {
					t.Errorf("status %d, error %v after %d sends, want %d after %d", got.status, got.err, sends.Load(), wantStatus, wantSends)
				}
			})
		}
	}
}
