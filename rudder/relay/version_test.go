package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"chestnutrudder.example/rudder/backend"
)

// breaksAfter and streamEvents are the number of events after which servers of a versionHarness break off a stream that
// begins, and that of a whole stream.
const (
	breaksAfter  = 2
	streamEvents = 5
)

// versionHarness has servers of several software versions, whose text tells the version.
type versionHarness struct {
	*harness
	breaksAll bool // the continuation of a stream within the same answer breaks off too
}

func newVersionHarness(t *testing.T, serversByVersion map[string]int) *versionHarness {
	t.Helper()
	h := &versionHarness{harness: newHarness(t)}
	for version, count := range serversByVersion {
		for i := range count {
			h.addServer(fmt.Sprintf("%s-%d", version, i), version)
		}
	}
	return h
}

// addServer adds a server with the given name and version.
func (h *versionHarness) addServer(name, version string) {
	h.backendServer(name, func(conn net.Conn, r *http.Request) bool {
		last, err := strconv.Atoi(r.Header.Get(headerLastEventID))
		if err != nil {
			return sendVersionEvents(conn, r, version, 1, breaksAfter, false)
		}
		if h.breaksAll && r.Header.Get("X-Rudder-Resumes") == "" {
			return sendVersionEvents(conn, r, version, last+1, last+1, false)
		}
		return sendVersionEvents(conn, r, version, last+1, streamEvents, true)
	})
	h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: h.addresses[name], Slots: 8, SoftwareVersion: version})
}

// sendVersionEvents is sendEvents with texts that tell the version of the server.
func sendVersionEvents(conn net.Conn, r *http.Request, version string, first, last int, isComplete bool) bool {
	return sendEventsWithText(conn, r, first, last, isComplete, func(int) string { return "<" + version + ">" })
}

// versionsIn returns the versions that wrote the events of a stream.
func versionsIn(body string) []string {
	versions := regexp.MustCompile(`<[^>]*>`).FindAllString(body, -1)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// takeUp sends a request that takes up a stream after the last event in body; resumes are the values of the header that
// names the attempt which began it.
func (h *versionHarness) takeUp(id, body string, resumes ...string) callerResponse {
	header := http.Header{"X-Rudder-Request": {id}, "Last-Event-Id": {strconv.Itoa(strings.Count(body, "id: "))}}
	if len(resumes) > 0 {
		header["X-Rudder-Resumes"] = resumes
	}
	return h.call(context.Background(), http.MethodGet, "/resumable/x", "", header)
}

// countSent returns how many requests with the given id the servers read. A server that was silent for a moment may read a request
// late that has gone elsewhere meanwhile, so that the number of all requests tells nothing of one.
func (h *versionHarness) countSent(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, r := range h.requests {
		if r.Header.Get("X-Rudder-Request") == id {
			count++
		}
	}
	return count
}

// begin sends a request for a stream.
func (h *versionHarness) begin(id string) callerResponse {
	return h.call(context.Background(), http.MethodGet, "/resumable/x", "", http.Header{"X-Rudder-Request": {id}})
}

// Guards against a stream that breaks off and goes on, within one answer, at a server of another software version.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	h := newVersionHarness(t, map[string]int{"v1": 2, "v1.1": 3, "": 2})
	log := h.recordLog()
	for i := range 24 {
		id := fmt.Sprint("r", i)
		got := h.begin(id)
		if versions := versionsIn(got.body); got.status != 200 || got.err != nil || len(versions) != 1 || strings.Count(got.body, "id:") != streamEvents {
			t.Errorf("stream %d: status %d, error %v, versions %v in %q, want a whole stream of one version; log:\n%s", i, got.status, got.err, versions, got.body, log.linesOf(id))
		}
	}
}

// Guards against a stream that its caller takes up and that goes on at another software version, or waits until its
// deadline, when no server of the version that began it is left.
func TestTakenUpStreamIsRefusedWhenItsVersionHasLeft(t *testing.T) {
	h := newVersionHarness(t, map[string]int{"v1": 1})
	h.breaksAll = true
	begun := h.begin("r1")
	h.server.Backends.Remove("v1-0")
	for i := range 3 {
		h.addServer(fmt.Sprint("new-", i), "v2")
	}
	got := h.takeUp("r2", begun.body, "r1")
	if sent := h.countSent("r2"); got.status != 503 || got.header.Get("Retry-After") == "" || sent != 0 {
		t.Errorf("take-up: status %d, Retry-After %q after %d requests to servers, want 503 at once", got.status, got.header.Get("Retry-After"), sent)
	}
}

// Guards against the same within one answer.
func TestBrokenStreamEndsWhenItsVersionHasLeft(t *testing.T) {
	h := newVersionHarness(t, map[string]int{"v2": 3})
	listNew := func() {
		for i := range 3 {
			name := fmt.Sprint("v2-", i)
			h.server.Backends.Put(backend.Entry{ID: name, Service: "s", Address: h.addresses[name], Slots: 8, SoftwareVersion: "v2"})
		}
	}
	h.backendServer("leaving", func(conn net.Conn, r *http.Request) bool {
		listNew()
		h.server.Backends.Remove("leaving")
		return sendVersionEvents(conn, r, "v1", 1, breaksAfter, false)
	})
	h.server.Backends.Put(backend.Entry{ID: "leaving", Service: "s", Address: h.addresses["leaving"], Slots: 8, SoftwareVersion: "v1"})
	for i := range 3 {
		h.server.Backends.Remove(fmt.Sprint("v2-", i))
	}
	log := h.recordLog()
	got := h.begin("r1")
	if got.err == nil || !slices.Equal(versionsIn(got.body), []string{"<v1>"}) || h.requestCount() != 1 {
		t.Errorf("error %v, %q after %d requests to servers, want a broken stream of v1 after one", got.err, got.body, h.requestCount())
	}
	if !log.contains("no backend server of the software version") {
		t.Error("the log does not tell that the version has left")
	}
}

// Guards against a stream that its caller takes up, once or several times, and that goes on at another software version.
// What the caller says of the attempt that began it must have a clear outcome, whatever it is.
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	h := newVersionHarness(t, map[string]int{"v1": 2, "v1.1": 4})
	h.breaksAll = true
	for i := range 12 {
		id := fmt.Sprint("first", i)
		begun := h.begin(id)
		if begun.err == nil || len(versionsIn(begun.body)) != 1 {
			t.Fatalf("stream %d: error %v, %q, want a stream of one version that breaks off", i, begun.err, begun.body)
		}
		got := h.takeUp(fmt.Sprint("second", i), begun.body, id)
		if versions := versionsIn(begun.body + got.body); got.status != 200 || got.err != nil || len(versions) != 1 {
			t.Errorf("stream %d: status %d, error %v, versions %v, want it to go on at its version", i, got.status, got.err, versions)
		}
		got = h.takeUp(fmt.Sprint("third", i), begun.body+"id: 4\n", id)
		if versions := versionsIn(begun.body + got.body); got.status != 200 || len(versions) != 1 {
			t.Errorf("stream %d: status %d, versions %v after the second take-up, want it to go on at its version", i, got.status, versions)
		}
	}
	for name, resumes := range map[string][]string{
		"missing": nil, "empty": {""}, "unknown": {"never-sent"}, "very long": {strings.Repeat("x", 5000)}, "repeated": {"first0", "first1"},
		"attempt without events": {"second0"},
	} {
		got := h.takeUp("odd", eventText(1, 2), resumes...)
		if got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, Retry-After %q, want 503 while two versions serve", name, got.status, got.header.Get("Retry-After"))
		}
	}
	if sent := h.countSent("odd"); sent != 0 {
		t.Errorf("%d requests whose version is not known reached servers", sent)
	}
	single := newVersionHarness(t, map[string]int{"v1": 2})
	if got := single.takeUp("odd", eventText(1, 2), "never-sent"); got.status != 200 {
		t.Errorf("status %d, want 200 while there is only one version", got.status)
	}
}
