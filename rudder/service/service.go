// Package service is the HTTP client for plain services. Dispatchers send calls with it; it sends each call at most once.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/connend"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/upstream"
)

const (
	dialTimeout      = time.Second
	callTimeout      = 30 * time.Second
	maxResponseBytes = 1 << 20
	maxHeaderBytes   = 64 << 10
	// callIDHeader carries the ID of the call. It is not named Idempotency-Key, because net/http can retry requests
	// that have that header by itself.
	callIDHeader = "X-Rudder-Call"
	// notRunHeader in a response with status 503 states that the service did not run the call. A 503 without the header
	// does not state that: it can come from a step behind the one where the call took effect.
	notRunHeader = "X-Rudder-Not-Run"
)

// notSentError means that no connection could be made, so that the call was not sent.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return "service could not be reached: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// Client sends calls to one service runner. It is safe for concurrent use.
type Client struct {
	baseURL    string
	dial       func(ctx context.Context, network, address string) (net.Conn, error)
	httpClient *http.Client
}

// NewClient returns a client for the service runner at the base URL. Each call opens a new connection, because net/http can
// retry a request that was sent on a kept-alive connection.
func NewClient(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, &notSentError{err}
		}
		return connend.New(connection), nil
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, ResponseHeaderTimeout: callTimeout, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{baseURL: baseURL, dial: dial, httpClient: &http.Client{Transport: transport, CheckRedirect: returnRedirect}}
}

// returnRedirect makes net/http return a redirect as the response: following it would send the call a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

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
	if notSent := (*notSentError)(nil); errors.As(err, &notSent) {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: err.Error(), RetryAfterMs: 200}
	}
	if err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
	defer response.Body.Close()
	if err := upstream.CheckHead(response); err != nil {
		return &peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil {
		err = upstream.CheckBodyStart(response.Header, body)
	}
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("answer has more than %d bytes", maxResponseBytes)
	}
	if err == nil && endsWithConnection(response) && !c.isUp(ctx) {
		err = errors.New("answer without a length ended with the service")
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

// endsWithConnection reports whether only the end of the connection marked the end of a response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed
}

// endProbeWait is how long a connection after the end of a response without a length must stay open.
const endProbeWait = 50 * time.Millisecond

// isUp reports whether the service holds a new connection open. The kernel accepts connections for a process that is being killed, and
// resets them. A restarted service is not told from the one before.
func (c *Client) isUp(ctx context.Context) bool {
	conn, err := c.dial(ctx, "tcp", strings.TrimPrefix(c.baseURL, "http://"))
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(endProbeWait))
	_, err = conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}
