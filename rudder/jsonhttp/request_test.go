package jsonhttp

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// A request without a value must not carry the body "null".
func TestNewRequest(t *testing.T) {
	request, err := NewRequest(context.Background(), http.MethodDelete, "http://127.0.0.1/x", nil)
	if err != nil || request.Body != nil || request.Header.Get("Content-Type") != "" {
		t.Errorf("request %+v, error %v", request, err)
	}
	request, err = NewRequest(context.Background(), http.MethodPut, "http://127.0.0.1/x", map[string]int{"a": 1})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || string(body) != `{"a":1}` || request.Header.Get("Content-Type") != "application/json" {
		t.Errorf("body %q, header %v, error %v", body, request.Header, err)
	}
	if _, err = NewRequest(context.Background(), http.MethodPut, "http://127.0.0.1/x", func() {}); err == nil {
		t.Error("a value that JSON cannot hold gives no error")
	}
}
