// Package engine is the adapter to model engines. Dispatchers use it to run and resume requests and to read load and
// cache events; the rollout and reclaim code uses it for orders and KV cache exports.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/jsonhttp"
)

// Errors of this layer.
var (
	// ErrNotSent means that no connection could be made: nothing was run.
	ErrNotSent = errors.New("engine could not be reached")
	// ErrProcessDown is ErrNotSent where the host answered that nothing listens: the engine process is dead.
	ErrProcessDown = errors.Wrap(ErrNotSent, "engine process is down")
	// ErrRefused means that the engine answered that it did not start the run.
	ErrRefused = errors.New("engine refused")
	// ErrHostLeaving is an ErrRefused of an engine whose host goes away.
	ErrHostLeaving = errors.WithMessage(ErrRefused, "host is leaving")
	// ErrBroken means that the stream ended without its end marker.
	ErrBroken = errors.New("engine stream broke")
	// ErrStreamIdle means that neither a token nor a heartbeat arrived within StreamIdleTimeout.
	ErrStreamIdle = errors.New("engine stream is silent")
)

const (
	// StreamIdleTimeout is how long a stream may carry nothing. Engines send a heartbeat each 500 ms.
	StreamIdleTimeout = 2 * time.Second
	// resumeHeaderTimeout bounds the answer to a resumption: an engine that holds the run answers at once, and another one can
	// take over sooner.
	resumeHeaderTimeout = time.Second
	dialTimeout         = time.Second
	runHeaderTimeout    = StreamIdleTimeout // a run that waits for a slot gets heartbeats as well
	callTimeout         = 2 * time.Second
	maxResponseBytes    = 16 << 20
)

// Client speaks to the engine of one model runner.
type Client struct {
	baseURL      string
	callClient   *http.Client // short calls
	runClient    *http.Client // one connection for each run, so that a silent connection affects one run
	resumeClient *http.Client // the same for resumptions
}

// NewClient returns a client for the engine at the base URL.
func NewClient(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return nil, errors.Wrap(ErrProcessDown, err.Error())
		case err != nil:
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return connection, nil
	}
	newStreamClient := func(headerTimeout time.Duration) *http.Client {
		return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, ResponseHeaderTimeout: headerTimeout}}
	}
	return &Client{
		baseURL:      baseURL,
		callClient:   &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 15 * time.Second}},
		runClient:    newStreamClient(runHeaderTimeout),
		resumeClient: newStreamClient(resumeHeaderTimeout),
	}
}

// Stream is the answer of one attempt.
type Stream struct {
	body      io.ReadCloser
	decoder   *json.Decoder
	idleTimer *time.Timer
	cancel    context.CancelCauseFunc
	ctx       context.Context
}

// Run starts or resumes a run. ErrNotSent and ErrRefused mean that nothing was run.
func (c *Client) Run(ctx context.Context, request RunRequest) (*Stream, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode run order")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/runs", bytes.NewReader(encoded))
	if err != nil {
		cancel(err)
		return nil, errors.Wrap(err, "build run request")
	}
	// Without GetBody the transport cannot send the request a second time by itself.
	httpRequest.GetBody = nil
	client := c.runClient
	if request.Resume {
		client = c.resumeClient
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		cancel(err)
		if errors.Is(err, ErrNotSent) {
			return nil, err
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer response.Body.Close()
		return nil, responseError(response)
	}
	idleTimer := time.AfterFunc(StreamIdleTimeout, func() { cancel(ErrStreamIdle) })
	return &Stream{body: response.Body, decoder: json.NewDecoder(response.Body), idleTimer: idleTimer, cancel: cancel, ctx: ctx}, nil
}

func responseError(response *http.Response) error {
	var refusal Refusal
	_ = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&refusal)
	switch response.StatusCode {
	case http.StatusGone:
		return errors.Wrapf(ErrHostLeaving, "status %d: %s", response.StatusCode, refusal.Reason)
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusNotFound:
		return errors.Wrapf(ErrRefused, "status %d: %s", response.StatusCode, refusal.Reason)
	default:
		return errors.Wrapf(ErrBroken, "status %d: %s", response.StatusCode, refusal.Reason)
	}
}

// Next returns the next chunk, ErrStreamIdle or ErrBroken. After a chunk with End the stream is over.
func (s *Stream) Next() (Chunk, error) {
	var chunk Chunk
	err := s.decoder.Decode(&chunk)
	if err != nil {
		if errors.Is(context.Cause(s.ctx), ErrStreamIdle) {
			return Chunk{}, ErrStreamIdle
		}
		return Chunk{}, errors.Wrap(ErrBroken, err.Error())
	}
	s.idleTimer.Reset(StreamIdleTimeout)
	return chunk, nil
}

// Close ends the stream; the engine holds the run for a while, so that it can be resumed, unless Cancel is called.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}

// Cancel stops a run and frees its slot.
func (c *Client) Cancel(ctx context.Context, runID string) error {
	return errors.Wrapf(c.callWithTimeout(ctx, http.MethodPost, "/v1/runs/"+runID+"/cancel", nil, nil), "cancel run %q", runID)
}

// LoadReport reads the engine's load report.
func (c *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.callWithTimeout(ctx, http.MethodGet, "/v1/load", nil, &report)
	return report, errors.Wrap(err, "read load")
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.callWithTimeout(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, errors.Wrap(err, "read cache events")
}

// callWithTimeout does one short exchange with a JSON body and answer.
func (c *Client) callWithTimeout(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, method, path, in, out)
}

// call is call without a time limit of its own.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	request, err := jsonhttp.NewRequest(ctx, method, c.baseURL+path, in)
	if err != nil {
		return err
	}
	response, err := c.callClient.Do(request)
	if err != nil {
		if errors.Is(err, ErrNotSent) {
			return err
		}
		return errors.Wrap(ErrBroken, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out), "decode answer")
}
