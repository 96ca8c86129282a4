package jsonhttp

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// Guards against a request without a value that is sent with the body "null", and against a value that cannot be encoded and
// is dropped without an error.
func TestNewRequest(t *testing.T) {
	request, err := NewRequest(context.Background(), http.MethodDelete, "http://127.0.0.1/x", nil)
	if err != nil || request.Body != nil || request.Header.Get("Content-Type") != "" {
		t.Errorf("request without a value is %+v (error %v), expected no body and no Content-Type", request, err)
	}
	request, err = NewRequest(context.Background(), http.MethodPut, "http://127.0.0.1/x", map[string]int{"a": 1})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || string(body) != `{"a":1}` || request.Header.Get("Content-Type") != "application/json" {
		t.Errorf("body is %q, header %v (error %v), expected {\"a\":1} with Content-Type application/json", body, request.Header, err)
	}
	if _, err = NewRequest(context.Background(), http.MethodPut, "http://127.0.0.1/x", func() {}); err == nil {
		t.Error("request with a value that JSON cannot encode was built without an error")
	}
}
