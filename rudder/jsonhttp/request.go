// Package jsonhttp builds HTTP requests with JSON bodies.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// NewRequest returns a request whose body is the JSON encoding of value; nil means no body. It returns the errors of
// json.Marshal and http.NewRequestWithContext.
func NewRequest(ctx context.Context, method, url string, value any) (*http.Request, error) {
	var body io.Reader
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if value != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
