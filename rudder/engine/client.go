// Package engine is the HTTP client for model engines. Dispatchers use it to run and resume requests, to read load reports
// and cache events, and to export and import the KV cache of a run when its host is reclaimed. Rollouts use it to read load
// reports and to send orders.
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
	"chestnutrudder.example/rudder/upstream"
)

// Errors of requests to an engine. They are wrapped with details; match them with errors.Is.
var (
	// ErrNotSent means that no connection could be made, so that nothing was run.
	ErrNotSent = errors.New("engine could not be reached")
	// ErrProcessDown wraps ErrNotSent. The host refused the connection because nothing listens on the port: the engine
	// process is dead.
	ErrProcessDown = errors.Wrap(ErrNotSent, "engine process is down")
	// ErrRefused means that the engine responded that it did not do what was requested (status 404, 409, 410 or 503).
	ErrRefused = errors.New("engine refused")
	// ErrHostLeaving wraps ErrRefused. The engine refuses runs because its host is being taken away (status 410).
	ErrHostLeaving = errors.WithMessage(ErrRefused, "host is leaving")
	// ErrBroken means that the request was sent and no complete response arrived: the connection failed, the stream ended
	// without its end marker, or the status was unexpected. The engine may have run the request.
	ErrBroken = errors.New("engine stream broke")
	// ErrStreamIdle means that neither a token nor a heartbeat arrived within StreamIdleTimeout.
	ErrStreamIdle = errors.New("engine stream is silent")
)

const (
	// StreamIdleTimeout is how long a stream may carry neither tokens nor heartbeats. Engines send a heartbeat every 500 ms.
	StreamIdleTimeout = 2 * time.Second
	// resumeHeaderTimeout is shorter than runHeaderTimeout: an engine that holds the run responds to a resume request at
	// once, and if it does not, the run is resumed on another engine sooner.
	resumeHeaderTimeout = time.Second
	dialTimeout         = time.Second
	runHeaderTimeout    = StreamIdleTimeout // a run gets heartbeats even while it waits for a slot
	callTimeout         = 2 * time.Second
	maxResponseBytes    = 16 << 20
	// maxChunkBytes bounds a chunk of a stream, and maxHeaderBytes the head of a response.
	maxChunkBytes  = 1 << 20
	maxHeaderBytes = 64 << 10
)

// Client is an HTTP client for the engine of one model runner. It is safe for concurrent use.
type Client struct {
	baseURL      string
	readClient   *http.Client // reads of reports, on kept connections
	callClient   *http.Client // other short requests, one connection each: a late response to an earlier one must not count
	runClient    *http.Client // one connection per run, so that a stalled connection affects only one run
	resumeClient *http.Client // the same for resume requests
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
	newClient := func(headerTimeout time.Duration) *http.Client {
		return &http.Client{
			Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true, ResponseHeaderTimeout: headerTimeout, MaxResponseHeaderBytes: maxHeaderBytes},
			CheckRedirect: returnRedirect,
		}
	}
	return &Client{
		baseURL:      baseURL,
		readClient:   &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 15 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes}, CheckRedirect: returnRedirect},
		callClient:   newClient(0),
		runClient:    newClient(runHeaderTimeout),
		resumeClient: newClient(resumeHeaderTimeout),
	}
}

// returnRedirect makes net/http return a redirect as the response: following it could run the request on another engine.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stream reads the chunks that an engine sends for one attempt of a run. It is not safe for concurrent use.
type Stream struct {
	body      io.ReadCloser
	limiter   *chunkLimiter // of body
	decoder   *json.Decoder
	idleTimer *time.Timer
	cancel    context.CancelCauseFunc
	ctx       context.Context
}

// Run starts or resumes a run. ErrNotSent and ErrRefused mean that nothing was run; after ErrBroken the engine may hold the
// run. The caller closes the stream.
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
	// Without GetBody the transport does not retry the request.
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
	if err := responseError(response); err != nil {
		defer cancel(nil)
		defer response.Body.Close()
		return nil, err
	}
	idleTimer := time.AfterFunc(StreamIdleTimeout, func() { cancel(ErrStreamIdle) })
	limiter := &chunkLimiter{source: response.Body}
	return &Stream{body: response.Body, limiter: limiter, decoder: json.NewDecoder(limiter), idleTimer: idleTimer, cancel: cancel, ctx: ctx}, nil
}

// responseError returns nil for a response with status 200, otherwise an error that wraps ErrHostLeaving, ErrRefused or
// ErrBroken.
func responseError(response *http.Response) error {
	if err := upstream.CheckHead(response); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	if response.StatusCode == http.StatusOK {
		return nil
	}
	var refusal Refusal
	var body bytes.Buffer // what was read up to the end of the refusal, since the end of the body may not come
	_ = json.NewDecoder(io.TeeReader(io.LimitReader(response.Body, maxResponseBytes), &body)).Decode(&refusal)
	if err := upstream.CheckBodyStart(response.Header, body.Bytes()); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	switch response.StatusCode {
	case http.StatusGone:
		return errors.Wrapf(ErrHostLeaving, "status %d: %s", response.StatusCode, refusal.Reason)
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusNotFound:
		return errors.Wrapf(ErrRefused, "status %d: %s", response.StatusCode, refusal.Reason)
	default:
		return errors.Wrapf(ErrBroken, "status %d: %s", response.StatusCode, refusal.Reason)
	}
}

// Next blocks until the next chunk arrives. The error is ErrStreamIdle if none arrives within StreamIdleTimeout, and wraps
// ErrBroken if the stream ends early. A chunk with End is the last one.
func (s *Stream) Next() (Chunk, error) {
	var chunk Chunk
	s.limiter.remaining = maxChunkBytes
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

// errChunkTooLarge means that an engine sent too many bytes without the end of a chunk.
var errChunkTooLarge = errors.New("chunk is too large")

// chunkLimiter bounds what the decoder of a stream reads for one chunk: it keeps a chunk of any size until its end.
type chunkLimiter struct {
	source    io.Reader
	remaining int // bytes that may still be read for the present chunk
}

func (l *chunkLimiter) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errors.Wrapf(errChunkTooLarge, "more than %d bytes", maxChunkBytes)
	}
	n, err := l.source.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// Close closes the stream. The engine holds the run for a while, so that it can be resumed, unless Client.Cancel is called.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}

// Cancel stops a run on the engine and frees its slot.
func (c *Client) Cancel(ctx context.Context, runID string) error {
	return errors.Wrapf(c.callWithTimeout(ctx, http.MethodPost, "/v1/runs/"+runID+"/cancel", nil, nil), "cancel run %q", runID)
}

// LoadReport reads the engine's load report, which can be out of date.
func (c *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.callWithTimeout(ctx, http.MethodGet, "/v1/load", nil, &report)
	return report, errors.Wrap(err, "read load report")
}

// CacheEvents reads the prefix cache events with a sequence number greater than after.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.callWithTimeout(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, errors.Wrap(err, "read cache events")
}

// callWithTimeout is call with a time limit of callTimeout.
func (c *Client) callWithTimeout(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, method, path, in, out)
}

// call sends a request with the JSON encoding of in and decodes the JSON response into out; nil means no body. It is
// bounded only by ctx. A status other than 200 is an error.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	request, err := jsonhttp.NewRequest(ctx, method, c.baseURL+path, in)
	if err != nil {
		return err
	}
	client := c.callClient
	if method == http.MethodGet {
		client = c.readClient
	}
	response, err := client.Do(request)
	if err != nil {
		if errors.Is(err, ErrNotSent) {
			return err
		}
		return errors.Wrap(ErrBroken, err.Error())
	}
	defer response.Body.Close()
	if err := responseError(response); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out), "decode response")
}
