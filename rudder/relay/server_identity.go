package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
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
	identityOther   serverIdentity = "other"   // another process, or none: the host refuses new connections, and none is open
	identityUnknown serverIdentity = "unknown" // nobody answered in time, or the answer does not tell
	identityUnasked serverIdentity = "unasked" // it does not matter
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
	// refusalsOfEndedServer is the number of refused connections after which a server counts as ended. On a node that is cut off from
	// its servers new connections may be refused while older ones work, of which one may become idle meanwhile.
	refusalsOfEndedServer = 3
	// noInstance is the id of no server. Every server refuses a request that expects it, without running it.
	noInstance = "none"
)

// identityFinding is an identity with what it follows from, for the log.
type identityFinding struct {
	identity serverIdentity
	detail   string
	isByName bool // from the id only, which a process that has started again may have too
}

// identityChecks finds out which processes answer at the addresses of servers. Calls for one server that wait at the same time share
// a check that begins after all of them. The zero value is ready for use.
type identityChecks struct {
	mu       sync.Mutex
	byServer map[identityKey]*identityQueue
}

// identityKey is the process of a server, at the address at which it was placed.
type identityKey struct {
	incarnation uint64
	address     string
}

// identityQueue holds the checks of one server.
type identityQueue struct {
	waiting *identityCheck // begins when the one in progress has ended; nil if no call waits
}

type identityCheck struct {
	run     func(sentAt boottime.Instant) identityFinding
	sentAt  boottime.Instant // of the earliest request whose server is to be identified
	done    chan struct{}
	finding identityFinding
}

// get returns the result of a check that begins after the call of get, or identityUnknown when ctx ends. The check gets the time
// at which the earliest request was sent for which it is made.
func (c *identityChecks) get(ctx context.Context, key identityKey, sentAt boottime.Instant, run func(sentAt boottime.Instant) identityFinding) identityFinding {
	joined := c.join(key, sentAt, run)
	select {
	case <-joined.done:
		return joined.finding
	case <-ctx.Done():
		return identityFinding{identity: identityUnknown, detail: "no answer within the time limit"}
	}
}

// join returns the next check of a server that has not begun.
func (c *identityChecks) join(key identityKey, sentAt boottime.Instant, run func(sentAt boottime.Instant) identityFinding) *identityCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, isActive := c.byServer[key]
	if !isActive {
		queue = &identityQueue{}
		if c.byServer == nil {
			c.byServer = map[identityKey]*identityQueue{}
		}
		c.byServer[key] = queue
		defer func() { go c.runAll(key) }()
	}
	if queue.waiting == nil {
		queue.waiting = &identityCheck{run: run, done: make(chan struct{}), sentAt: sentAt}
	}
	queue.waiting.sentAt = min(queue.waiting.sentAt, sentAt)
	return queue.waiting
}

// runAll runs the checks of a server one after the other until no call waits.
func (c *identityChecks) runAll(key identityKey) {
	for {
		c.mu.Lock()
		queue := c.byServer[key]
		next := queue.waiting
		queue.waiting = nil
		if next == nil {
			delete(c.byServer, key)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		next.finding = next.run(next.sentAt)
		close(next.done)
	}
}

// findIdentity finds out which process answers now at the address of a server to which a request was sent at the given time. It takes
// at most identityTimeout.
func (s *Server) findIdentity(ctx context.Context, p *backend.Placement, sentAt boottime.Instant) identityFinding {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	return s.identities.get(ctx, identityKey{p.Incarnation, p.Address}, sentAt, func(sentAt boottime.Instant) identityFinding {
		ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
		defer cancel()
		refusals := 0
		for pause := minQuestionPause; ; pause = min(2*pause, maxQuestionPause) {
			finding, err := s.askIdentity(ctx, p, sentAt)
			if finding.isByName && refusals > 0 {
				return identityFinding{identity: identityUnknown, detail: finding.detail + " after a refused connection"}
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				if refusals++; refusals == refusalsOfEndedServer {
					return identityFinding{identity: identityOther, detail: "host refuses connections"}
				}
			}
			if !mayAskAgain(err) {
				return finding
			}
			select {
			case <-ctx.Done():
				return finding
			case <-time.After(pause):
			}
		}
	})
}

// errAskAgain means that a server has answered a question and may answer it otherwise later.
var errAskAgain = errors.New("server cannot answer the question now")

// mayAskAgain reports whether a question that ended with the error may be answered when it is asked again.
func mayAskAgain(err error) bool {
	var connErr *net.OpError
	return errors.Is(err, errAskAgain) || errors.As(err, &connErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// askIdentity asks at the address of a server which process answers. With an error another question may tell more.
//
// The first question is a request for the report of the server that expects an instance which does not exist. A server that makes
// reports answers with the start of its process, every other one refuses and names its id; none runs the request. Unless it tells the
// start, it is then asked as the instance that it should be: it may report to that only, another one refuses, and it signs its response.
func (s *Server) askIdentity(ctx context.Context, p *backend.Placement, sentAt boottime.Instant) (identityFinding, error) {
	unknown := func(err error) (identityFinding, error) {
		return identityFinding{identity: identityUnknown, detail: err.Error()}, err
	}
	id := strconv.FormatUint(rand.Uint64(), 16)
	answer, err := s.ask(ctx, p, sentAt, noInstance, id)
	if err != nil {
		return unknown(err)
	}
	if got := answer.Header.Get(s.Dialect.RequestID); got != "" && got != id {
		return unknown(fmt.Errorf("%w: the answer is that to another request", errAskAgain))
	}
	finding := s.Dialect.identify(answer, p)
	if finding.identity != identityUnknown && !finding.isByName {
		return finding, nil
	}
	if isBusy(answer.Status) {
		return finding, errAskAgain
	}
	if answer, err = s.ask(ctx, p, sentAt, p.ID, ""); err != nil {
		return unknown(err)
	}
	second := s.Dialect.identifyNamed(answer, p)
	if finding.isByName && second.identity == identityUnknown {
		return finding, nil // a server without a report
	}
	second.detail = finding.detail + "; " + second.detail
	if second.identity == identityUnknown && isBusy(answer.Status) {
		return second, errAskAgain
	}
	return second, nil
}

// isBusy reports whether a server that answers with the status may answer the same question otherwise later.
func isBusy(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// AskAddress asks the server at an address, over a new connection, for its report as an instance that does not exist. Any response is an
// answer. It is used for Paths.Ask of package backend.
func (s *Server) AskAddress(ctx context.Context, address string) error {
	pool := &upstream.Pool{Address: address, DialTimeout: questionTimeout}
	defer pool.CloseIdle(0)
	_, err := pool.Ask(ctx, s.question(address, noInstance, strconv.FormatUint(rand.Uint64(), 16)), 0)
	return err
}

// ask asks a placed server for its report as the given instance.
func (s *Server) ask(ctx context.Context, p *backend.Placement, sentAt boottime.Instant, instance, requestID string) (*upstream.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	return p.Server.Pool.Ask(ctx, s.question(p.Address, instance, requestID), sentAt)
}

// question returns a request for the report of a server. An empty request id is left out.
func (s *Server) question(address, instance, requestID string) *http.Request {
	header := http.Header{"User-Agent": {""}} // empty, so that net/http adds none
	header.Set(s.Dialect.ExpectInstance, instance)
	if requestID != "" {
		header.Set(s.Dialect.RequestID, requestID)
	}
	return &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: s.Dialect.ReportPath}, Host: address, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// identify tells from the answer to a question that expects no instance whether the process gave it at which a request was placed. A
// process that has kept a connection since before it got the request is that one, whatever it tells of itself. A process with the same
// id and no start is that one unless the registry tells of another start meanwhile.
func (d *Dialect) identify(answer *upstream.Answer, p *backend.Placement) identityFinding {
	start, hasStart := d.reportedStart(answer)
	id := answer.Header.Get(d.InstanceID)
	hasRefused := answer.Status == http.StatusMisdirectedRequest
	switch {
	case answer.IsFromBefore && (hasStart || hasRefused):
		return identityFinding{identity: identitySame, detail: "older connection"}
	case hasStart && p.StartUnixMillis != 0:
		if start != p.StartUnixMillis {
			return identityFinding{identity: identityOther, detail: fmt.Sprintf("start %d", start)}
		}
		return identityFinding{identity: identitySame, detail: "start"}
	case hasRefused && id != "":
		if id != p.ID || p.IsReplaced() {
			return identityFinding{identity: identityOther, detail: "instance " + id}
		}
		return identityFinding{identity: identitySame, detail: "instance", isByName: true}
	}
	return identityFinding{identity: identityUnknown, detail: fmt.Sprintf("status %d", answer.Status)}
}

// identifyNamed is identify for a question that expects the server itself. Another server refuses it. One without room may refuse
// before it looks at the instance, so that its signature counts only with other statuses.
func (d *Dialect) identifyNamed(answer *upstream.Answer, p *backend.Placement) identityFinding {
	if answer.Status == http.StatusMisdirectedRequest {
		return identityFinding{identity: identityOther, detail: "refuses the instance"}
	}
	finding := d.identify(answer, p)
	if finding.identity == identityUnknown && answer.Header.Get(d.ResponseSignature) != "" && !isBusy(answer.Status) && !p.IsReplaced() {
		return identityFinding{identity: identitySame, detail: "signature", isByName: true}
	}
	return finding
}

// reportedStart returns the start time in a server's report, in Unix milliseconds.
func (d *Dialect) reportedStart(answer *upstream.Answer) (startUnixMillis int64, found bool) {
	var fields map[string]json.RawMessage
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &fields) != nil {
		return 0, false
	}
	var start float64 // as in the registry, which may write it in any form of a number
	err := json.Unmarshal(fields[d.ReportStart], &start)
	return int64(start), err == nil && start == math.Trunc(start)
}
