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

// Options say what to send.
type Options struct {
	User     users.User
	Seed     uint64
	Rate     float64 // arrivals per second
	Duration time.Duration
	Nodes    []string // IP:port to ask for addresses first
	Oracle   *oracle.Oracle
}

const (
	requestLimit = 30 * time.Second // for all sendings of a request
	// sendingLimit is how long a caller waits for the end of one sending before it tries another address.
	sendingLimit = 10 * time.Second
	addressLimit = 500 * time.Millisecond
	maxSendings  = 12
	firstPause   = 100 * time.Millisecond
	longestPause = 1600 * time.Millisecond
)

// Run sends the mix and returns when each request has ended.
func Run(ctx context.Context, o Options) *Result {
	g := newGenerator(o.User, o.Seed)
	arrivals := g.arrivals(o.Rate, o.Duration)
	var clients []*client
	for i := range len(o.User.Tokens) * callersPerOrganisation {
		clients = append(clients, newClient(o, i))
	}
	result := newResult()
	started := time.Now()
	var all sync.WaitGroup
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(started.Add(a.at))):
		}
		if ctx.Err() != nil {
			break
		}
		all.Add(1)
		go func() {
			defer all.Done()
			clients[a.caller].converse(ctx, a, o, result)
		}()
	}
	all.Wait()
	for _, c := range clients {
		c.caller.HTTP.CloseIdleConnections()
	}
	return result
}

// client is one application of an organisation. It has an address of its own on loopback, because nodes spread callers
// by their address.
type client struct {
	caller *caller.Caller

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func newClient(o Options, number int) *client {
	nodes := append(append([]string(nil), o.Nodes[number%len(o.Nodes):]...), o.Nodes[:number%len(o.Nodes)]...)
	c := caller.New(o.User.Tokens[number/callersPerOrganisation], nodes...)
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+number))}}
	c.HTTP = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256}}
	return &client{caller: c}
}

// address returns the n-th best address; it asks the system when the kept addresses are old or did not work.
func (c *client) address(ctx context.Context, n int) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 || time.Now().After(c.until) {
		if err := c.refresh(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	return c.addresses[n%len(c.addresses)], nil
}

// refresh asks the nodes that it knows, one after another, and keeps the first answer. The caller holds the lock.
func (c *client) refresh(ctx context.Context) error {
	last := errors.New("no addresses")
	for _, node := range append(append([]string(nil), c.addresses...), c.caller.Nodes...) {
		ctx, cancel := context.WithTimeout(ctx, addressLimit)
		found, err := (&caller.Caller{Token: c.caller.Token, Nodes: []string{node}, HTTP: c.caller.HTTP}).Addresses(ctx)
		cancel()
		if err != nil || len(found.Addresses) == 0 {
			last = errOr(err, last)
			continue
		}
		c.addresses = nil
		for _, a := range found.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.until = time.Now().Add(time.Duration(found.KeepSeconds) * time.Second)
		return nil
	}
	return last
}

func errOr(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}

// converse sends the turns of an arrival one after another; a turn that fails ends it.
func (c *client) converse(ctx context.Context, a arrival, o Options, result *Result) {
	for i, t := range a.turns {
		if i > 0 {
			time.Sleep(turnPause)
		}
		handle := o.Oracle.Register(t.Request)
		if !c.request(ctx, t, o.User.Model, handle, result) {
			return
		}
	}
}

// request sends a request until it is answered, a retry is no use or the time is over.
func (c *client) request(ctx context.Context, t turn, model string, handle oracle.RequestHandle, result *Result) bool {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	result.asked()
	pause := firstPause
	var told oracle.Outcome
	for n := range maxSendings {
		address, err := c.address(ctx, n)
		if err == nil {
			var again bool
			told, again = c.send(ctx, address, t, model, handle.BeginSubmission(), result, n == 0)
			if told == oracle.Done || !again {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		if ctx.Err() != nil {
			break
		}
		pause = min(2*pause, longestPause)
	}
	result.ended(told)
	return told == oracle.Done
}

// send sends a request once and reports whether a retry may help.
func (c *client) send(ctx context.Context, address string, t turn, model string, s oracle.Submission, result *Result, first bool) (told oracle.Outcome, again bool) {
	ctx, cancel := context.WithTimeout(ctx, sendingLimit)
	defer cancel()
	if t.Kind == oracle.ModelRequest {
		answer, err := c.caller.Chat(ctx, address, model, t.content, t.allowed, t.ID)
		told, again = judge(err)
		s.RecordModelAnswer(told, answer.Tokens)
		if told == oracle.Done {
			result.answered(answer, first)
		}
		return told, again
	}
	method, key := http.MethodGet, ""
	if t.Kind == oracle.WriteCall {
		method, key = http.MethodPost, t.ID
	}
	raw, err := c.caller.Call(ctx, address, method, t.call, map[string]string{"id": t.ID}, key)
	told, again = judge(err)
	s.RecordServiceReply(told, string(raw))
	// A write that may have run is asked for again under its key: the system must answer from its record or say
	// that it does not know.
	return told, again
}

// judge turns an error into what the caller was told. Statuses that a retry cannot change end the request.
func judge(err error) (oracle.Outcome, bool) {
	if err == nil {
		return oracle.Done, false
	}
	var failure *caller.Failure
	if !errors.As(err, &failure) {
		return oracle.NoOutcome, true
	}
	again := failure.Status == http.StatusTooManyRequests || failure.Status >= http.StatusInternalServerError
	if failure.Run == "no" {
		return oracle.NotRun, again
	}
	return oracle.Unknown, again
}
