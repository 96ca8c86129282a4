package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/users"
)

// Options describe the load.
type Options struct {
	User     users.User
	Seed     uint64
	Rate     float64 // arrivals per second
	Duration time.Duration
	Nodes    []string // IP:port of the nodes that are asked for addresses first
	Oracle   *oracle.Oracle
}

const (
	requestTimeout = 30 * time.Second // for all attempts of a request
	// attemptTimeout is how long a client waits for the end of one attempt before it tries another address.
	attemptTimeout        = 10 * time.Second
	addressRequestTimeout = 500 * time.Millisecond
	maxAttempts           = 12
	initialBackoff        = 100 * time.Millisecond
	maxBackoff            = 1600 * time.Millisecond
)

// Run sends the user's mix of requests and returns when all of them have ended. If ctx ends, no further arrival starts and
// running requests end early.
func Run(ctx context.Context, o Options) *Result {
	g := newGenerator(o.User, o.Seed)
	arrivals := g.arrivals(o.Rate, o.Duration)
	var clients []*client
	for i := range len(o.User.Tokens) * clientsPerOrganisation {
		clients = append(clients, newClient(o, i))
	}
	result := newResult()
	startTime := time.Now()
	var wg sync.WaitGroup
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(startTime.Add(a.startOffset))):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			clients[a.clientIndex].sendTurns(ctx, a, o, result)
		}()
	}
	wg.Wait()
	for _, c := range clients {
		c.caller.HTTPClient.CloseIdleConnections()
	}
	return result
}

// client is one application of an organisation. It has a loopback address of its own, because nodes distribute callers by
// the caller's address.
type client struct {
	caller *caller.Caller

	mu              sync.Mutex
	cachedAddresses []string
	cacheExpiresAt  time.Time
}

// newClient returns the client with an index. It rotates the nodes so that clients start at different ones.
func newClient(o Options, index int) *client {
	nodes := append(append([]string(nil), o.Nodes[index%len(o.Nodes):]...), o.Nodes[:index%len(o.Nodes)]...)
	c := caller.New(o.User.Tokens[index/clientsPerOrganisation], nodes...)
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+index))}}
	c.HTTPClient = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256}}
	return &client{caller: c}
}

// address returns the address for an attempt, counted from 0, in the order that the system recommends. It refreshes the
// cached addresses if they have expired or an earlier attempt has failed.
func (c *client) address(ctx context.Context, attempt int) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt > 0 || time.Now().After(c.cacheExpiresAt) {
		if err := c.refreshAddresses(ctx); err != nil && len(c.cachedAddresses) == 0 {
			return "", err
		}
	}
	return c.cachedAddresses[attempt%len(c.cachedAddresses)], nil
}

// refreshAddresses asks the known nodes for addresses, one after another, and caches the first answer. The caller must hold
// c.mu.
func (c *client) refreshAddresses(ctx context.Context) error {
	lastErr := errors.New("no node returned an address")
	for _, node := range append(append([]string(nil), c.cachedAddresses...), c.caller.Nodes...) {
		ctx, cancel := context.WithTimeout(ctx, addressRequestTimeout)
		response, err := (&caller.Caller{Token: c.caller.Token, Nodes: []string{node}, HTTPClient: c.caller.HTTPClient}).FetchAddresses(ctx)
		cancel()
		if err != nil || len(response.Addresses) == 0 {
			lastErr = firstError(err, lastErr)
			continue
		}
		c.cachedAddresses = nil
		for _, a := range response.Addresses {
			c.cachedAddresses = append(c.cachedAddresses, a.Address)
		}
		c.cacheExpiresAt = time.Now().Add(time.Duration(response.KeepSeconds) * time.Second)
		return nil
	}
	return lastErr
}

func firstError(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// sendTurns sends the turns of an arrival one after another and stops at the first that fails.
func (c *client) sendTurns(ctx context.Context, a arrival, o Options, result *Result) {
	for i, t := range a.turns {
		if i > 0 {
			time.Sleep(thinkTime)
		}
		handle := o.Oracle.Register(t.Request)
		if !c.sendWithRetry(ctx, t, o.User.Model, handle, result) {
			return
		}
	}
}

// sendWithRetry sends a request until it is answered, a retry does not help, or the time or the number of attempts is used
// up. It reports whether the request was answered.
func (c *client) sendWithRetry(ctx context.Context, t turn, model string, handle oracle.RequestHandle, result *Result) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result.recordRequest()
	backoff := initialBackoff
	var outcome oracle.Outcome
	for attempt := range maxAttempts {
		address, err := c.address(ctx, attempt)
		if err == nil {
			var canRetry bool
			outcome, canRetry = c.sendOnce(ctx, address, t, model, handle.BeginSubmission(), result, attempt == 0)
			if outcome == oracle.Done || !canRetry {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		if ctx.Err() != nil {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	result.recordOutcome(outcome)
	return outcome == oracle.Done
}

// sendOnce makes one attempt at a request, records it with the oracle and reports whether a retry may help.
func (c *client) sendOnce(ctx context.Context, address string, t turn, model string, submission oracle.Submission, result *Result, isFirstAttempt bool) (outcome oracle.Outcome, canRetry bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if t.Kind == oracle.ModelRequest {
		answer, err := c.caller.Chat(ctx, address, model, t.content, t.maxTokens, t.ID)
		outcome, canRetry = classifyError(err)
		submission.RecordModelAnswer(outcome, answer.Tokens)
		if outcome == oracle.Done {
			result.recordAnswer(answer, isFirstAttempt)
		}
		return outcome, canRetry
	}
	method, key := http.MethodGet, ""
	if t.Kind == oracle.WriteCall {
		method, key = http.MethodPost, t.ID
	}
	raw, err := c.caller.Call(ctx, address, method, t.servicePath, map[string]string{"id": t.ID}, key)
	outcome, canRetry = classifyError(err)
	submission.RecordServiceReply(outcome, string(raw))
	// A write that may have run is retried with the same idempotency key: the system must answer from its record or report
	// that the outcome is unknown.
	return outcome, canRetry
}

// classifyError maps the error of an attempt to the outcome that the caller saw, and reports whether a retry may help. It
// does not help after success, or after a problem document with a status other than 429 and 5xx.
func classifyError(err error) (oracle.Outcome, bool) {
	if err == nil {
		return oracle.Done, false
	}
	var problemErr *caller.ProblemError
	if !errors.As(err, &problemErr) {
		return oracle.NoOutcome, true
	}
	canRetry := problemErr.Status == http.StatusTooManyRequests || problemErr.Status >= http.StatusInternalServerError
	if problemErr.Run == "no" {
		return oracle.NotRun, canRetry
	}
	return oracle.Unknown, canRetry
}
