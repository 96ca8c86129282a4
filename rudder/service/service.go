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
	dialTimeout   = time.Second
	callTimeout   = 30 * time.Second
	maxReplyBytes = 1 << 20
	// callHeader carries the identity of the call. The name is not Idempotency-Key, because that header makes net/http
	// repeat a request by itself.
	callHeader = "X-Rudder-Call"
	// notRunHeader on an answer with status 503 states that the service did not run the call. A bare 503 states nothing:
	// it can come from behind the point where the call took effect.
	notRunHeader = "X-Rudder-Not-Run"
)

var errNotSent = errors.New("service could not be reached")

// Client speaks to one service runner.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the service at the base URL. Each call has a connection of its own: on a kept-alive
// connection net/http may repeat a call by itself.
func NewClient(base string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.Wrap(errNotSent, err.Error())
		}
		return connection, nil
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, ResponseHeaderTimeout: callTimeout}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Call sends one call and returns its outcome.
func (c *Client) Call(ctx context.Context, call *peerpb.CallRequest) *peerpb.CallResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+"/"+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: err.Error()}
	}
	request.GetBody = nil
	request.Header.Set(callHeader, call.Call)
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	reply, err := c.http.Do(request)
	if errors.Is(err, errNotSent) {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: err.Error(), RetryAfterMs: 200}
	}
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errors.Errorf("answer has more than %d bytes", maxReplyBytes)
	}
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
	if reply.StatusCode == http.StatusServiceUnavailable && reply.Header.Get(notRunHeader) != "" {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: string(body), RetryAfterMs: 1000}
	}
	return &peerpb.CallResponse{
		Outcome:     peerpb.Outcome_OUTCOME_DONE,
		Status:      int32(reply.StatusCode),
		Body:        body,
		ContentType: reply.Header.Get("Content-Type"),
	}
}
