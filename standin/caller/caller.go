// Package caller is a client of the system as an application would write it: it fetches the addresses of nodes, caches
// them, sends requests, retries them and resumes interrupted answers. The demo, the load generator, the soak run and the
// integration tests use it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/entry"
)

const (
	// retryTimeout is how long a request is retried: a model request since its last new token, a service call since its
	// start.
	retryTimeout          = 45 * time.Second
	maxRetryDelay         = 5 * time.Second
	minRetryDelay         = 50 * time.Millisecond
	addressRequestTimeout = 2 * time.Second
)

// Caller sends the requests of one organisation. It is safe for concurrent use while its exported fields stay unchanged.
type Caller struct {
	Token      string   // bearer token
	Nodes      []string // IP:port of the nodes that are asked for addresses first
	HTTPClient *http.Client

	mu              sync.Mutex
	cachedAddresses []string
	cacheExpiresAt  time.Time
}

// New returns a caller that authenticates with a bearer token and asks nodes (IP:port) for addresses. Its HTTP client does
// not follow redirects, since it would drop the credentials on a redirect to another host; the caller follows them itself.
func New(token string, nodes ...string) *Caller {
	return &Caller{
		Token: token,
		Nodes: nodes,
		HTTPClient: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// ProblemError is the error for a request that was answered with a problem document.
type ProblemError struct {
	entry.Problem
	RetryAfter time.Duration // how long to wait before a retry; 0 if a retry does not help
}

// Error returns the status, the detail and whether the request was run: yes, no or unknown.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("%d: %s (run: %s)", e.Status, e.Detail, e.Run)
}

// FetchAddresses asks one node after another for the addresses to use, first those in Nodes, then the cached ones. It
// caches and returns the first answer, or returns the error of the last node.
func (c *Caller) FetchAddresses(ctx context.Context) (entry.Addresses, error) {
	c.mu.Lock()
	nodes := append(slices.Clone(c.Nodes), c.cachedAddresses...)
	c.mu.Unlock()
	var lastErr error
	for _, node := range nodes {
		var addresses entry.Addresses
		if lastErr = c.getJSON(ctx, "http://"+node+"/v1/addresses", &addresses); lastErr == nil {
			c.cacheAddresses(addresses.Addresses, time.Duration(addresses.KeepSeconds)*time.Second)
			return addresses, nil
		}
	}
	return entry.Addresses{}, errors.Wrap(lastErr, "fetch addresses from any node")
}

// cacheAddresses replaces the cached addresses; an empty list leaves them as they are.
func (c *Caller) cacheAddresses(addresses []entry.Address, ttl time.Duration) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedAddresses = nil
	for _, a := range addresses {
		c.cachedAddresses = append(c.cachedAddresses, a.Address)
	}
	c.cacheExpiresAt = time.Now().Add(ttl)
}

// candidateAddresses returns the cached addresses and refreshes them first if they have expired. If no node answers, it
// returns the expired ones and Nodes.
func (c *Caller) candidateAddresses(ctx context.Context) []string {
	c.mu.Lock()
	addresses, isFresh := slices.Clone(c.cachedAddresses), time.Now().Before(c.cacheExpiresAt)
	c.mu.Unlock()
	if isFresh {
		return addresses
	}
	if _, err := c.FetchAddresses(ctx); err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		return slices.Clone(c.cachedAddresses)
	}
	return append(addresses, c.Nodes...)
}

// getJSON fetches a JSON document within addressRequestTimeout.
func (c *Caller) getJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, addressRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected response status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// Call sends a call to a service and returns the response body. The path names the service and the path in it, address the
// node that is tried first. An idempotency key that is not empty is sent along. A call that was certainly not run is retried
// at the next address until retryTimeout; any other error, such as a *ProblemError, is returned.
func (c *Caller) Call(ctx context.Context, address, method, path string, body any, idempotencyKey string) ([]byte, error) {
	startTime := time.Now()
	addresses := &addressIterator{caller: c, preferred: address}
	for {
		target := addresses.next(ctx)
		header := http.Header{}
		if idempotencyKey != "" {
			header.Set("Idempotency-Key", idempotencyKey)
		}
		response, err := c.send(ctx, method, "http://"+target+"/v1/services/"+path, body, header)
		if err == nil {
			defer response.Body.Close()
			raw, err := io.ReadAll(response.Body)
			return raw, errors.Wrap(err, "read response body")
		}
		delay, canRetry := c.retryDelay(err)
		if !canRetry || time.Since(startTime) > retryTimeout {
			return nil, err
		}
		if err := sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
}

// retryDelay reports whether a failed request was certainly not run and may be retried, and how long to wait before. If
// the problem document names addresses, it caches them for one second.
func (c *Caller) retryDelay(err error) (time.Duration, bool) {
	if isDialError(err) {
		return minRetryDelay, true
	}
	var problemErr *ProblemError
	if !errors.As(err, &problemErr) || problemErr.Run != "no" || problemErr.RetryAfter == 0 {
		return 0, false
	}
	if len(problemErr.Addresses) > 0 {
		c.cacheAddresses(problemErr.Addresses, time.Second)
	}
	return min(problemErr.RetryAfter, maxRetryDelay), true
}

// isDialError reports whether the connection could not be established, so that no request was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// sleep waits for a duration, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// send sends one HTTP request. It returns a response with a status below 400, and a *ProblemError for any other status.
func (c *Caller) send(ctx context.Context, method, url string, body any, header http.Header) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		// The wrapper keeps NewRequestWithContext from setting GetBody. Without it the HTTP client cannot retry the request
		// by itself.
		reader = io.NopCloser(bytes.NewReader(raw))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	problemErr := &ProblemError{}
	if err := json.NewDecoder(response.Body).Decode(&problemErr.Problem); err != nil {
		return nil, errors.Wrapf(err, "decode problem document of response with status %d", response.StatusCode)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		problemErr.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil, problemErr
}

// addressIterator yields the addresses for the attempts of one request: the preferred one, then the candidates in turn.
type addressIterator struct {
	caller    *Caller
	preferred string
	previous  string
}

// next returns the address for the next attempt. Without any candidate it repeats the previous one.
func (i *addressIterator) next(ctx context.Context) string {
	if i.preferred != "" {
		i.previous, i.preferred = i.preferred, ""
		return i.previous
	}
	addresses := i.caller.candidateAddresses(ctx)
	if len(addresses) == 0 {
		return i.previous
	}
	i.previous = addresses[(slices.Index(addresses, i.previous)+1)%len(addresses)]
	return i.previous
}
