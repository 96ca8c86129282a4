// Package service is the HTTP client for plain services. Dispatchers send calls with it; it sends each call at most once.
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
	// callIDHeader carries the ID of the call. It is not named Idempotency-Key, because net/http can retry requests
	// that have that header by itself.
	callIDHeader = "X-Rudder-Call"
	// notRunHeader in a response with status 503 states that the service did not run the call. A 503 without the header
	// does not state that: it can come from a step behind the one where the call took effect.
	notRunHeader = "X-Rudder-Not-Run"
)

var errNotSent = errors.New("service could not be reached")

// Client sends calls to one service runner. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the service runner at the base URL. Each call opens a new connection, because net/http can
// retry a request that was sent on a kept-alive connection.
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

// Call sends a call and returns its outcome: done with the response of the service, not run, or unknown if the service may
// have run the call and no complete response arrived. Responses of more than maxResponseBytes count as unknown.
func (c *Client) Call(ctx context.Context, request *peerpb.CallRequest) *peerpb.CallResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+"/"+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: err.Error()}
	}
	// Without GetBody the transport does not retry the request.
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
