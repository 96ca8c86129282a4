package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/upstream"
)

// serverIdentity tells which process answers at the address of a backend server.
type serverIdentity string

const (
	identitySame    serverIdentity = "same"    // the process at which the request was placed
	identityOther   serverIdentity = "other"   // another process, or none: the host refuses connections
	identityUnknown serverIdentity = "unknown" // nobody answered in time, or the answer does not tell
)

const (
	// identityTimeout bounds the search for the identity of a server, which may be silent for a second and go on.
	identityTimeout = 2 * time.Second
	// questionTimeout bounds one question: a connection may be dead while others work.
	questionTimeout = 700 * time.Millisecond
	// minQuestionPause and maxQuestionPause bound the growing pause after a question that failed: a server at the limit of its
	// connections resets new ones, and the kernel resets those that a killed process has not accepted.
	minQuestionPause = 50 * time.Millisecond
	maxQuestionPause = 400 * time.Millisecond
	// noInstance is the id of no server. Every server refuses a request that expects it, without running it.
	noInstance = "none"
)

// identityChecks finds out which processes answer at the addresses of servers. Calls for one server that wait at the same time share
// a check that begins after all of them. The zero value is ready for use.
type identityChecks struct {
	mu       sync.Mutex
	byServer map[uint64]*identityQueue // by incarnation
}

// identityQueue holds the checks of one server.
type identityQueue struct {
	waiting *identityCheck // begins when the one in progress has ended; nil if no call waits
}

type identityCheck struct {
	done   chan struct{}
	sentAt boottime.Instant // of the earliest request whose server is to be identified
	result serverIdentity
}

// get returns the result of a check that begins after the call of get, or identityUnknown when ctx ends. The check gets the time
// at which the earliest request was sent for which it is made.
func (c *identityChecks) get(ctx context.Context, incarnation uint64, sentAt boottime.Instant, check func(sentAt boottime.Instant) serverIdentity) serverIdentity {
	joined := c.join(incarnation, sentAt, check)
	select {
	case <-joined.done:
		return joined.result
	case <-ctx.Done():
		return identityUnknown
	}
}

// join returns the next check of a server that has not begun.
func (c *identityChecks) join(incarnation uint64, sentAt boottime.Instant, check func(sentAt boottime.Instant) serverIdentity) *identityCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, isActive := c.byServer[incarnation]
	if !isActive {
		queue = &identityQueue{}
		if c.byServer == nil {
			c.byServer = map[uint64]*identityQueue{}
		}
		c.byServer[incarnation] = queue
		defer func() { go c.runAll(incarnation, check) }()
	}
	if queue.waiting == nil {
		queue.waiting = &identityCheck{done: make(chan struct{}), sentAt: sentAt}
	}
	queue.waiting.sentAt = min(queue.waiting.sentAt, sentAt)
	return queue.waiting
}

// runAll runs the checks of a server one after the other until no call waits.
func (c *identityChecks) runAll(incarnation uint64, check func(sentAt boottime.Instant) serverIdentity) {
	for {
		c.mu.Lock()
		queue := c.byServer[incarnation]
		next := queue.waiting
		queue.waiting = nil
		if next == nil {
			delete(c.byServer, incarnation)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		next.result = check(next.sentAt)
		close(next.done)
	}
}

// findIdentity finds out which process answers now at the address of a server to which a request was sent at the given time.
func (s *Server) findIdentity(ctx context.Context, p *backend.Placement, sentAt boottime.Instant) serverIdentity {
	identity := s.identities.get(ctx, p.Incarnation, sentAt, func(sentAt boottime.Instant) serverIdentity {
		ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
		defer cancel()
		for pause := minQuestionPause; ; pause = min(2*pause, maxQuestionPause) {
			identity, isFinal := s.askIdentity(ctx, p, sentAt)
			if isFinal {
				return identity
			}
			select {
			case <-ctx.Done():
				return identityUnknown
			case <-time.After(pause):
			}
		}
	})
	if identity == identitySame && p.IsReplaced() {
		return identityOther // the answer to the question may tell the id only
	}
	return identity
}

// askIdentity asks at the address of a server which process answers. The result is not final if another question may tell more.
//
// The first question is a request for the report of the server that expects an instance which does not exist. A server that makes
// reports answers with the start of its process, every other one refuses and names its id; none runs the request. A server that does
// neither is asked as the instance that it should be: another one refuses, it signs its response.
func (s *Server) askIdentity(ctx context.Context, p *backend.Placement, sentAt boottime.Instant) (identity serverIdentity, isFinal bool) {
	id := strconv.FormatUint(rand.Uint64(), 16)
	answer, err := s.ask(ctx, p, sentAt, noInstance, id)
	if err == nil && (answer.Header.Get(s.Dialect.RequestID) == "" || answer.Header.Get(s.Dialect.RequestID) == id) {
		if identity = s.Dialect.identify(answer, p.ID, p.StartUnixMillis); identity != identityUnknown {
			return identity, true
		}
		answer, err = s.ask(ctx, p, sentAt, p.ID, "")
		if err == nil {
			identity = s.Dialect.identifyBySignature(answer)
			return identity, identity != identityUnknown || !isOverload(answer.Status)
		}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return identityOther, true
	}
	return identityUnknown, false
}

// isOverload reports whether the same question may be answered otherwise later.
func isOverload(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// ask asks a server for its report as the given instance. An empty request id is left out.
func (s *Server) ask(ctx context.Context, p *backend.Placement, sentAt boottime.Instant, instance, requestID string) (*upstream.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	header := http.Header{"User-Agent": {""}} // empty, so that net/http adds none
	header.Set(s.Dialect.ExpectInstance, instance)
	if requestID != "" {
		header.Set(s.Dialect.RequestID, requestID)
	}
	return p.Server.Pool.Ask(ctx, &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: s.Dialect.ReportPath}, Host: p.Address, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, sentAt)
}

// identify tells from the answer to a question that expects no instance whether the process with the given id and start time gave it.
// The start time is 0 if the registry does not tell it. A process that has kept a connection since before it got the request is the
// one that got it, whatever it tells of itself.
func (d *Dialect) identify(answer *upstream.Answer, id string, startUnixMillis int64) serverIdentity {
	start, hasStart := d.reportedStart(answer)
	answeringID := answer.Header.Get(d.InstanceID)
	hasRefused := answer.Status == http.StatusMisdirectedRequest
	switch {
	case hasStart && startUnixMillis != 0 && start != startUnixMillis, hasRefused && answeringID != "" && answeringID != id:
		return identityOther
	case hasStart && startUnixMillis != 0, hasRefused && answeringID == id:
		return identitySame
	case answer.IsFromBefore && (hasStart || hasRefused):
		return identitySame
	}
	return identityUnknown
}

// identifyBySignature tells from the answer to a question that expects the server whether it is that server. One without room may
// refuse before it looks at the instance.
func (d *Dialect) identifyBySignature(answer *upstream.Answer) serverIdentity {
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return identityOther
	case answer.Header.Get(d.ResponseSignature) != "" && !isOverload(answer.Status):
		return identitySame
	}
	return identityUnknown
}

// reportedStart returns the start time in a server's report, in Unix milliseconds.
func (d *Dialect) reportedStart(answer *upstream.Answer) (startUnixMillis int64, found bool) {
	var fields map[string]json.RawMessage
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &fields) != nil {
		return 0, false
	}
	err := json.Unmarshal(fields[d.ReportStart], &startUnixMillis)
	return startUnixMillis, err == nil
}
