package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// serveRaw returns the URL of a server that answers each request with the bytes.
func serveRaw(t *testing.T, response string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprint(conn, response)
		_ = conn.(*net.TCPConn).CloseWrite()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a response that no sound engine sends and that counts as the start of a stream, as a refusal, which says that
// nothing was run, or as success of a short request.
func TestMalformedResponseOfEngineIsBroken(t *testing.T) {
	const whole = `{"attempt":"a","end":true}` + "\n"
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 X\r\n\r\n",
		"status 099":               "HTTP/1.1 099 X\r\n\r\n",
		"status 1000":              "HTTP/1.1 1000 X\r\n\r\n",
		"status 2xx":               "HTTP/1.1 2xx X\r\n\r\n",
		"status 101":               "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"status 103 without end":   strings.Repeat("HTTP/1.1 103 X\r\nX: "+strings.Repeat("x", 1000)+"\r\n\r\n", 1000),
		"version 0.9":              "HTTP/0.9 200 X\r\n\r\n",
		"version 2.0":              "HTTP/2.0 200 X\r\n\r\n",
		"version 2.0, refusal":     "HTTP/2.0 409 X\r\n\r\n",
		"version 2.0, host leaves": "HTTP/2.0 410 X\r\n\r\n",
		"two heads, refusal":       "HTTP/1.1 409 X\r\n\r\nHTTP/1.1 200 X\r\n\r\n",
		"two heads":                "HTTP/1.1 200 X\r\n\r\nHTTP/1.1 200 X\r\n\r\n",
	} {
		client := NewClient(serveRaw(t, head+whole))
		stream, err := client.Run(context.Background(), RunRequest{RunID: "a"})
		if err == nil {
			_, err = stream.Next()
			stream.Close()
		}
		if !errors.Is(err, ErrBroken) || errors.Is(err, ErrRefused) {
			t.Errorf("%s: run returned %v, want ErrBroken", name, err)
		}
		if err := client.Cancel(context.Background(), "a"); name != "two heads" && (!errors.Is(err, ErrBroken) || errors.Is(err, ErrRefused)) {
			t.Errorf("%s: cancel returned %v, want ErrBroken", name, err)
		}
	}
}

// A stream of an engine has an end marker, so that one that was cut is broken whatever the end of its connection looks like.
func TestStreamWithoutEndMarkerIsBroken(t *testing.T) {
	client := NewClient(serveRaw(t, "HTTP/1.1 200 X\r\n\r\n"+`{"attempt":"a","tokens":["x"]}`+"\n"))
	stream, err := client.Run(context.Background(), RunRequest{RunID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if chunk, err := stream.Next(); err != nil || len(chunk.Tokens) != 1 {
		t.Fatalf("chunk %+v, error %v, want one token", chunk, err)
	}
	if chunk, err := stream.Next(); !errors.Is(err, ErrBroken) {
		t.Errorf("chunk %+v, error %v, want ErrBroken", chunk, err)
	}
}
