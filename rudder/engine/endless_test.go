package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
)

// Guards against a dispatcher that runs out of memory because an engine sends a chunk without end, or a head.
func TestEndlessBytesOfEngineAreNotKept(t *testing.T) {
	block := []byte(strings.Repeat("x", 64<<10))
	for name, start := range map[string]string{"chunk": `{"text":"`, "head": ""} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if name == "head" {
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: "))
					for sent := 0; err == nil && sent < 256<<20; sent += len(block) {
						_, err = conn.Write(block)
					}
					return
				}
				_, err := w.Write([]byte(start))
				for sent := 0; err == nil && sent < 256<<20; sent += len(block) {
					_, err = w.Write(block)
				}
			}))
			defer server.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			stream, err := NewClient(server.URL).Run(context.Background(), RunRequest{RunID: "a"})
			if err == nil {
				_, err = stream.Next()
				stream.Close()
			}
			if !errors.Is(err, ErrBroken) {
				t.Errorf("error %v, want ErrBroken", err)
			}
			runtime.ReadMemStats(&after)
			const maxAllocated = 8 << 20
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("%d bytes were allocated, want at most %d", allocated, maxAllocated)
			}
		})
	}
}
