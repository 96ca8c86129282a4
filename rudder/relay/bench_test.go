package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// benchmark sends POST requests with a body of bodyBytes one after the other to a backend server that runs handle.
func benchmark(b *testing.B, path string, bodyBytes int, handle func(conn net.Conn, r *http.Request) bool) {
	h := newHarness(b)
	h.backendServer("a", handle)
	body := strings.Repeat("x", bodyBytes)
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+h.address+path, strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Host = "h"
		request.Header.Set("X-Rudder-Request", "1")
		request.Header.Set("Authorization", "Bearer key")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("status %d, error %v", response.StatusCode, err)
		}
		response.Body.Close()
	}
}

// BenchmarkPlain measures a request with a body of 200 bytes and a short response.
func BenchmarkPlain(b *testing.B) { benchmark(b, "/once/x", 200, succeed) }

// BenchmarkStream measures a request with a body of 12 kB and a response of 64 events.
func BenchmarkStream(b *testing.B) {
	benchmark(b, "/stream/x", 12_000, func(conn net.Conn, r *http.Request) bool { return sendEvents(conn, r, 1, 64, true) })
}
