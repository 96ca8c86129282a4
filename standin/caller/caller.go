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
	// retryFor bounds the time without a new token for which a request is sent again.
	retryFor      = 45 * time.Second
	longestWait   = 5 * time.Second
	shortestWait  = 50 * time.Millisecond
	addressesWait = 2 * time.Second
)

// Caller belongs to one organisation.
type Caller struct {
	Token string   // bearer token
	Nodes []string // IP:port of nodes to ask first
	HTTP  *http.Client

	mu        sync.Mutex
	addresses []string
	keepUntil time.Time
}

// New returns a caller. Redirects are followed by the caller itself, since the client drops the credentials on the way
// to another host.
func New(token string, nodes ...string) *Caller {
	return &Caller{
		Token: token,
		Nodes: nodes,
		HTTP: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Failure is a problem document.
type Failure struct {
	entry.Problem
	RetryAfter time.Duration // 0 if a retry does not help
}

// Error returns the detail and whether the request was run.
func (f *Failure) Error() string { return fmt.Sprintf("%d: %s (run: %s)", f.Status, f.Detail, f.Run) }

// Addresses asks the nodes in order for the addresses to use, the known addresses after Nodes.
func (c *Caller) Addresses(ctx context.Context) (entry.Addresses, error) {
	c.mu.Lock()
	nodes := append(slices.Clone(c.Nodes), c.addresses...)
	c.mu.Unlock()
	var last error
	for _, n := range nodes {
		var addresses entry.Addresses
		if last = c.getJSON(ctx, "http://"+n+"/v1/addresses", &addresses); last == nil {
			c.keep(addresses.Addresses, time.Duration(addresses.KeepSeconds)*time.Second)
			return addresses, nil
		}
	}
	return entry.Addresses{}, errors.Wrap(last, "no node gave addresses")
}

// keep replaces the known addresses.
func (c *Caller) keep(addresses []entry.Address, keepFor time.Duration) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = nil
	for _, a := range addresses {
		c.addresses = append(c.addresses, a.Address)
	}
	c.keepUntil = time.Now().Add(keepFor)
}

// known returns the kept addresses, read anew if they are too old or none are left.
func (c *Caller) known(ctx context.Context) []string {
	c.mu.Lock()
	addresses, fresh := slices.Clone(c.addresses), time.Now().Before(c.keepUntil)
	c.mu.Unlock()
	if fresh {
		return addresses
	}
	if _, err := c.Addresses(ctx); err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		return slices.Clone(c.addresses)
	}
	return append(addresses, c.Nodes...)
}

func (c *Caller) getJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, addressesWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	reply, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", reply.StatusCode)
	}
	return json.NewDecoder(reply.Body).Decode(out)
}

// Call sends a call to a plain service and returns the answer's body. A call that was not run goes to the next address.
func (c *Caller) Call(ctx context.Context, address, method, path string, body any, key string) ([]byte, error) {
	started := time.Now()
	addresses := &addressList{caller: c, first: address}
	for {
		at := addresses.next(ctx)
		header := http.Header{}
		if key != "" {
			header.Set("Idempotency-Key", key)
		}
		reply, err := c.send(ctx, method, "http://"+at+"/v1/services/"+path, body, header)
		if err == nil {
			defer reply.Body.Close()
			raw, err := io.ReadAll(reply.Body)
			return raw, errors.Wrap(err, "read answer")
		}
		wait, again := c.mayRepeat(err)
		if !again || time.Since(started) > retryFor {
			return nil, err
		}
		if err := pause(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// mayRepeat reports whether a request that failed was certainly not run, and how long to wait before the next try.
func (c *Caller) mayRepeat(err error) (time.Duration, bool) {
	if isNotSent(err) {
		return shortestWait, true
	}
	var failure *Failure
	if !errors.As(err, &failure) || failure.Run != "no" || failure.RetryAfter == 0 {
		return 0, false
	}
	if len(failure.Addresses) > 0 {
		c.keep(failure.Addresses, time.Second)
	}
	return min(failure.RetryAfter, longestWait), true
}

// isNotSent reports whether no connection could be made.
func isNotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// send returns an answer with a status below 400, or a Failure.
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
	reply, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	if reply.StatusCode < http.StatusBadRequest {
		return reply, nil
	}
	defer reply.Body.Close()
	failure := &Failure{}
	if err := json.NewDecoder(reply.Body).Decode(&failure.Problem); err != nil {
		return nil, errors.Wrapf(err, "status %d", reply.StatusCode)
	}
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil, failure
}

// addressList goes through the addresses of one request: a preferred one first, then the known ones in turn.
type addressList struct {
	caller *Caller
	first  string
	last   string
}

func (l *addressList) next(ctx context.Context) string {
	if l.first != "" {
		l.last, l.first = l.first, ""
		return l.last
	}
	addresses := l.caller.known(ctx)
	if len(addresses) == 0 {
		return l.last
	}
	l.last = addresses[(slices.Index(addresses, l.last)+1)%len(addresses)]
	return l.last
}
