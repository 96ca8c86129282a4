package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
)

// serveCopies starts an engine that responds to the first request on each connection with the given status and body, and to
// each later one with a copy of that, and then with status 200 and the path as its body. It returns the base URL.
func serveCopies(t *testing.T, firstStatus int, firstBody string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				first := ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					status, body := http.StatusOK, fmt.Sprintf(`{"handle":%q}`, r.URL.Path)
					if requests.Add(1) == 1 {
						status, body = firstStatus, firstBody
					}
					response := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					fmt.Fprint(conn, first+response)
					if first == "" {
						first = response
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// An engine that sent an earlier response once more on a kept connection made the next call succeed or fail with it: a run
// went on with the KV cache of another run, or an order that was carried out counted as refused.
func TestCopyOfEarlierResponseIsNotTakenForTheNext(t *testing.T) {
	ctx := context.Background()
	client := NewClient(serveCopies(t, http.StatusOK, `{"handle":"of run a"}`))
	if export, err := client.ExportKV(ctx, "a"); err != nil || export.Handle != "of run a" {
		t.Fatalf("export of run a: %+v, error %v", export, err)
	}
	if export, err := client.ExportKV(ctx, "b"); err != nil || export.Handle != "/v1/runs/b/export" {
		t.Errorf("export of run b: %+v, error %v, want its own handle", export, err)
	}

	client = NewClient(serveCopies(t, http.StatusConflict, `{"reason":"outdated fencing token"}`))
	if err := client.SendOrder(ctx, Order{Kind: OrderSetRole}); !errors.Is(err, ErrRefused) {
		t.Fatalf("first order: %v, want ErrRefused", err)
	}
	runAndClose := func() error {
		stream, err := client.Run(ctx, RunRequest{RunID: "a"})
		if err == nil {
			stream.Close()
		}
		return err
	}
	for i, call := range []func() error{
		func() error { return client.SendOrder(ctx, Order{Kind: OrderSetRole}) },
		func() error { return client.ImportKV(ctx, KVImportRequest{Handle: "h"}) },
		func() error { return client.Cancel(ctx, "a") },
		runAndClose,
	} {
		if err := call(); err != nil {
			t.Errorf("call %d after a refusal: %v, want the response to itself", i, err)
		}
	}
}

// A redirect must not make a second engine run the request, and its refusal must not count for the first one.
func TestRedirectOfEngineIsNotFollowed(t *testing.T) {
	var calls atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(other.Close)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		http.Redirect(w, r, other.URL+r.URL.Path, http.StatusFound)
	}))
	t.Cleanup(server.Close)
	client := NewClient(server.URL)
	_, err := client.Run(context.Background(), RunRequest{RunID: "a", Prompt: strings.Repeat("x", 10)})
	if !errors.Is(err, ErrBroken) || errors.Is(err, ErrRefused) {
		t.Errorf("redirected run: %v, want ErrBroken", err)
	}
	if err := client.SendOrder(context.Background(), Order{}); !errors.Is(err, ErrBroken) || errors.Is(err, ErrRefused) {
		t.Errorf("redirected order: %v, want ErrBroken", err)
	}
	if calls.Load() != 0 {
		t.Errorf("%d requests reached another engine, want none", calls.Load())
	}
}
