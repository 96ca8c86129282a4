package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/jsonhttp"
	"chestnutrudder.example/rudder/sleep"
)

const (
	dialTimeout        = time.Second
	callTimeout        = 2 * time.Second
	maxWatchWait       = 20 * time.Second
	maxResolveAttempts = 3
	resolveDelay       = 100 * time.Millisecond
	maxResponseBytes   = 64 << 20
)

// EpochHeader is the header that holds the epoch in a response without an object.
const EpochHeader = "Object-Api-Epoch"

// Client is a Store that calls the object API over HTTP.
type Client struct {
	// OnNewEpoch is called with the epoch of a response if it is later than that of all earlier ones and not 0. It must be set
	// before the first call, must not block, and may be nil.
	OnNewEpoch func(epoch int64)

	baseURL   string
	http      *http.Client
	countCall func(kind string)
	epochs    EpochTracker
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the base URL. countCall is called with the kind of each call (get, list, put, delete or
// watch); it may be nil.
func NewClient(baseURL string, countCall func(kind string)) *Client {
	if countCall == nil {
		countCall = func(string) {}
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Wrap(ErrUnavailable, err.Error())
			}
			return connection, nil
		},
	}
	return &Client{baseURL: baseURL, http: &http.Client{Transport: transport}, countCall: countCall}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var object Object
	err := c.call(ctx, "get", http.MethodGet, "/v1/objects/"+key, nil, &object)
	return object, errors.Wrapf(c.observe(object.Version, err), "get %q", key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var listing Listing
	err := c.call(ctx, "list", http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, &listing)
	return listing, errors.Wrapf(c.observe(listing.Revision, err), "list %q", prefix)
}

// Put implements Store. If the response to a write is lost, Put reads the object back and looks for the token of the write.
func (c *Client) Put(ctx context.Context, key string, value any, expectedVersion Version) (Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode %q", key)
	}
	if len(raw) > MaxValueBytes {
		return Object{}, errors.Errorf("value of %q has %d bytes, allowed are %d", key, len(raw), MaxValueBytes)
	}
	body := PutBody{Expected: expectedVersion, Token: uuid.NewString(), Value: raw}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var object Object
	err = c.put(callCtx, key, body, &object)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return object, errors.Wrapf(err, "put %q", key)
	}
	object, err = c.resolvePut(ctx, key, body)
	return object, errors.Wrapf(err, "put %q", key)
}

// put sends a write. A response of an earlier epoch does not tell whether the write is lost, so the outcome then is unknown.
func (c *Client) put(ctx context.Context, key string, body PutBody, object *Object) error {
	if err := c.call(ctx, "put", http.MethodPut, "/v1/objects/"+key, body, object); err != nil {
		return err
	}
	if err := c.observe(object.Version, nil); err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return nil
}

// observe notes the epoch of a response that was received with callErr. It returns callErr, or ErrUnavailable if the response
// was sent before the object API was restored.
func (c *Client) observe(v Version, callErr error) error {
	if callErr != nil && !errors.Is(callErr, ErrNotFound) {
		return callErr
	}
	isNew, err := c.epochs.advance(v.Epoch)
	if err != nil {
		return err
	}
	if isNew && c.OnNewEpoch != nil {
		c.OnNewEpoch(v.Epoch)
	}
	return callErr
}

// resolvePut finds out whether a write with a lost response took effect. If the object still has the expected version, the
// write may still be in transit, so the same write is sent again: its condition lets it take effect only once.
func (c *Client) resolvePut(ctx context.Context, key string, body PutBody) (Object, error) {
	for range maxResolveAttempts {
		if !sleep.For(ctx, resolveDelay) {
			return Object{}, ErrOutcomeUnknown
		}
		current, err := c.Get(ctx, key)
		switch {
		case err == nil && current.Token == body.Token:
			return current, nil
		case err == nil && body.Expected != AnyVersion && current.Version.Epoch > body.Expected.Epoch && body.Expected != AbsentVersion:
			return Object{}, ErrConflict // a write that expects a version of an earlier epoch is rejected
		case err == nil && current.Version != body.Expected && body.Expected != AnyVersion:
			// Another writer has changed the object. Either the lost write was rejected, or it took effect and was
			// overwritten. Versions increase by one, so only the next version proves that it was rejected.
			if current.Version == (Version{Epoch: body.Expected.Epoch, Number: body.Expected.Number + 1}) {
				return Object{}, ErrConflict
			}
			return Object{}, ErrOutcomeUnknown
		case err != nil && !errors.Is(err, ErrNotFound):
			continue
		}
		var object Object
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = c.put(callCtx, key, body, &object)
		cancel()
		if err == nil {
			return object, nil
		}
	}
	return Object{}, ErrOutcomeUnknown
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expectedVersion Version) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := fmt.Sprintf("/v1/objects/%s?expected=%s", key, expectedVersion)
	return errors.Wrapf(c.call(ctx, "delete", http.MethodDelete, path, nil, nil), "delete %q", key)
}

// Watch implements Store. It waits for up to maxWatchWait. If ctx has a deadline, the object API is asked to respond
// callTimeout before it, but not in less than a second: the response shows that the connection still works.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision Version) (Changes, error) {
	wait := maxWatchWait
	if deadline, found := ctx.Deadline(); found {
		wait = min(wait, max(time.Until(deadline)-callTimeout, time.Second).Round(time.Second))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{
		"prefix":       {prefix},
		"after":        {afterRevision.String()},
		"wait_seconds": {strconv.Itoa(int(wait / time.Second))},
	}
	var changes Changes
	err := c.call(ctx, "watch", http.MethodGet, "/v1/watch?"+query.Encode(), nil, &changes)
	if errors.Is(err, errResponseTooLarge) {
		return Changes{Reset: true}, nil
	}
	if changes.Reset && changes.Revision.IsZero() {
		return changes, errors.Wrapf(err, "watch %q", prefix) // it was not readable which object has changed
	}
	return changes, errors.Wrapf(c.observe(changes.Revision, err), "watch %q", prefix)
}

// errResponseTooLarge wraps ErrUnavailable. The body of a response exceeds maxResponseBytes, as that of a watch may after
// many changes.
var errResponseTooLarge = errors.WithMessage(ErrUnavailable, "response is too large")

// call sends one HTTP request and decodes the response into out unless out is nil. Errors are ErrNotFound, ErrConflict,
// ErrUnavailable, or ErrOutcomeUnknown for a write that was sent without a valid response. Any other status than those of
// the first three also gives ErrOutcomeUnknown, whatever the method.
func (c *Client) call(ctx context.Context, kind, method, path string, in, out any) error {
	c.countCall(kind)
	request, err := jsonhttp.NewRequest(ctx, method, c.baseURL+path, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		if method == http.MethodGet || errors.Is(err, ErrUnavailable) {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		if o, isObject := out.(*Object); isObject {
			// The header may be missing in epoch 0.
			o.Version.Epoch, _ = strconv.ParseInt(response.Header.Get(EpochHeader), 10, 64)
		}
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", response.StatusCode)
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", response.StatusCode)
	}
	if out == nil {
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(raw) > maxResponseBytes && method == http.MethodGet {
		return errors.Wrapf(errResponseTooLarge, "more than %d bytes", maxResponseBytes)
	}
	if err == nil {
		err = decodeResponse(raw, out)
	}
	if err != nil {
		if method == http.MethodGet {
			return errors.Wrap(ErrUnavailable, "broken answer: "+err.Error())
		}
		return errors.Wrap(ErrOutcomeUnknown, "broken answer: "+err.Error())
	}
	return nil
}
