// Package service is the adapter to plain services. Dispatchers send calls through it. A call is sent at most once.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	dialTimeout      = time.Second
	callTimeout      = 30 * time.Second
	maxResponseBytes = 1 << 20
	// callIDHeader carries the identity of the call. The name is not Idempotency-Key, because that header makes net/http
	// repeat a request by itself.
	callIDHeader = "X-Rudder-Call"
	// notRunHeader on an answer with status 503 states that the service did not run the call. A bare 503 states nothing:
	// it can come from behind the point where the call took effect.
	notRunHeader = "X-Rudder-Not-Run"
)

var errNotSent = errors.New("service could not be reached")

// Client speaks to one service runner.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the service at the base URL. Each call has a connection of its own: on a kept-alive
// connection net/http may repeat a call by itself.
func NewClient(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.Wrap(errNotSent, err.Error())
		}
		return connection, nil
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, ResponseHeaderTimeout: callTimeout}
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: transport}}
}

// Call sends one call and returns its outcome.
func (c *Client) Call(ctx context.Context, request *peerpb.CallRequest) *peerpb.CallResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+"/"+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: err.Error()}
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set(callIDHeader, request.Call)
	if request.ContentType != "" {
		httpRequest.Header.Set("Content-Type", request.ContentType)
	}
	response, err := c.httpClient.Do(httpRequest)
	if errors.Is(err, errNotSent) {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: err.Error(), RetryAfterMs: 200}
	}
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("answer has more than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(notRunHeader) != "" {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: string(body), RetryAfterMs: 1000}
	}
	return &peerpb.CallResponse{
		Outcome:     peerpb.Outcome_OUTCOME_DONE,
		Status:      int32(response.StatusCode),
		Body:        body,
		ContentType: response.Header.Get("Content-Type"),
	}
}
