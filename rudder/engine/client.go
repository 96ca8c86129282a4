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
	// ErrDown is ErrNotSent where the host answered that nothing listens: the engine process is dead.
	ErrDown = errors.Wrap(ErrNotSent, "engine process is down")
	// ErrRefused means that the engine answered that it did not start the run.
	ErrRefused = errors.New("engine refused")
	// ErrLeaving is an ErrRefused of an engine whose host goes away.
	ErrLeaving = errors.WithMessage(ErrRefused, "host is leaving")
	// ErrBroken means that the stream ended without its end marker.
	ErrBroken = errors.New("engine stream broke")
	// ErrSilent means that neither a token nor a heartbeat arrived within SilenceTimeout.
	ErrSilent = errors.New("engine stream is silent")
)

const (
	// SilenceTimeout is how long a stream may carry nothing. Engines send a heartbeat each 500 ms.
	SilenceTimeout = 2 * time.Second
	// resumeTimeout bounds the answer to a resumption: an engine that holds the run answers at once, and another one can
	// take over sooner.
	resumeTimeout = time.Second
	dialTimeout   = time.Second
	headerTimeout = SilenceTimeout // a run that waits for a slot gets heartbeats as well
	callTimeout   = 2 * time.Second
	maxReplyBytes = 16 << 20
)

// Client speaks to the engine of one model runner.
type Client struct {
	base   string
	http   *http.Client // short calls
	stream *http.Client // one connection for each run, so that a silent connection affects one run
	resume *http.Client // the same for resumptions
}

// NewClient returns a client for the engine at the base URL.
func NewClient(base string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return nil, errors.Wrap(ErrDown, err.Error())
		case err != nil:
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return connection, nil
	}
	streaming := func(timeout time.Duration) *http.Client {
		return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, ResponseHeaderTimeout: timeout}}
	}
	return &Client{
		base:   base,
		http:   &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 15 * time.Second}},
		stream: streaming(headerTimeout),
		resume: streaming(resumeTimeout),
	}
}

// Stream is the answer of one attempt.
type Stream struct {
	body    io.ReadCloser
	decoder *json.Decoder
	silence *time.Timer
	cancel  context.CancelCauseFunc
	ctx     context.Context
}

// Run starts or resumes a run. ErrNotSent and ErrRefused mean that nothing was run.
func (c *Client) Run(ctx context.Context, order RunOrder) (*Stream, error) {
	raw, err := json.Marshal(order)
	if err != nil {
		return nil, errors.Wrap(err, "encode run order")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/runs", bytes.NewReader(raw))
	if err != nil {
		cancel(err)
		return nil, errors.Wrap(err, "build run request")
	}
	// Without GetBody the transport cannot send the request a second time by itself.
	request.GetBody = nil
	client := c.stream
	if order.Resume {
		client = c.resume
	}
	reply, err := client.Do(request)
	if err != nil {
		cancel(err)
		if errors.Is(err, ErrNotSent) {
			return nil, err
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	if reply.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer reply.Body.Close()
		return nil, refusal(reply)
	}
	silence := time.AfterFunc(SilenceTimeout, func() { cancel(ErrSilent) })
	return &Stream{body: reply.Body, decoder: json.NewDecoder(reply.Body), silence: silence, cancel: cancel, ctx: ctx}, nil
}

func refusal(reply *http.Response) error {
	var body Refusal
	_ = json.NewDecoder(io.LimitReader(reply.Body, maxReplyBytes)).Decode(&body)
	switch reply.StatusCode {
	case http.StatusGone:
		return errors.Wrapf(ErrLeaving, "status %d: %s", reply.StatusCode, body.Reason)
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusNotFound:
		return errors.Wrapf(ErrRefused, "status %d: %s", reply.StatusCode, body.Reason)
	default:
		return errors.Wrapf(ErrBroken, "status %d: %s", reply.StatusCode, body.Reason)
	}
}

// Next returns the next chunk, ErrSilent or ErrBroken. After a chunk with End the stream is over.
func (s *Stream) Next() (Chunk, error) {
	var chunk Chunk
	err := s.decoder.Decode(&chunk)
	if err != nil {
		if errors.Is(context.Cause(s.ctx), ErrSilent) {
			return Chunk{}, ErrSilent
		}
		return Chunk{}, errors.Wrap(ErrBroken, err.Error())
	}
	s.silence.Reset(SilenceTimeout)
	return chunk, nil
}

// Close ends the stream; the engine holds the run for a while, so that it can be resumed, unless Cancel is called.
func (s *Stream) Close() {
	s.silence.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}

// Cancel stops a run and frees its slot.
func (c *Client) Cancel(ctx context.Context, run string) error {
	return errors.Wrapf(c.call(ctx, http.MethodPost, "/v1/runs/"+run+"/cancel", nil, nil), "cancel run %q", run)
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, errors.Wrap(err, "read load")
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, errors.Wrap(err, "read cache events")
}

// call does one short exchange with a JSON body and answer.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.exchange(ctx, method, path, in, out)
}

// exchange is call without a time limit of its own.
func (c *Client) exchange(ctx context.Context, method, path string, in, out any) error {
	request, err := jsonhttp.NewRequest(ctx, method, c.base+path, in)
	if err != nil {
		return err
	}
	reply, err := c.http.Do(request)
	if err != nil {
		if errors.Is(err, ErrNotSent) {
			return err
		}
		return errors.Wrap(ErrBroken, err.Error())
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return refusal(reply)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(reply.Body, maxReplyBytes)).Decode(out), "decode answer")
}
