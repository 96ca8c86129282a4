// Package caller is a caller of the system as an application would write it: it asks for addresses, keeps them for a
// while, sends requests and resumes broken answers. The demo, the load tool and the integration tests use it.
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
	// retryTimeout bounds the time without a new token for which a request is sent again.
	retryTimeout          = 45 * time.Second
	maxRetryDelay         = 5 * time.Second
	minRetryDelay         = 50 * time.Millisecond
	addressRequestTimeout = 2 * time.Second
)

// Caller belongs to one organisation.
type Caller struct {
	Token      string   // bearer token
	Nodes      []string // IP:port of nodes to ask first
	HTTPClient *http.Client

	mu              sync.Mutex
	cachedAddresses []string
	cacheExpiresAt  time.Time
}

// New returns a caller. Redirects are followed by the caller itself, since the client drops the credentials on the way
// to another host.
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

// ProblemError is a problem document.
type ProblemError struct {
	entry.Problem
	RetryAfter time.Duration // 0 if a retry does not help
}

// Error returns the detail and whether the request was run.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("%d: %s (run: %s)", e.Status, e.Detail, e.Run)
}

// FetchAddresses asks the nodes in order for the addresses to use, the known addresses after Nodes.
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
	return entry.Addresses{}, errors.Wrap(lastErr, "no node gave addresses")
}

// cacheAddresses replaces the known addresses.
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

// candidateAddresses returns the kept addresses, read anew if they are too old or none are left.
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
		return errors.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// Call sends a call to a plain service and returns the answer's body. A call that was not run goes to the next address.
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
			return raw, errors.Wrap(err, "read answer")
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

// retryDelay reports whether a request that failed was certainly not run, and how long to wait before the next try.
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

// isDialError reports whether no connection could be made.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// send returns an answer with a status below 400, or a ProblemError.
func (c *Caller) send(ctx context.Context, method, url string, body any, header http.Header) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		// Without GetBody the client cannot send the request a second time by itself.
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
		return nil, errors.Wrapf(err, "status %d", response.StatusCode)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		problemErr.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil, problemErr
}

// addressIterator goes through the addresses of one request: a preferred one first, then the known ones in turn.
type addressIterator struct {
	caller    *Caller
	preferred string
	previous  string
}

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
