package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
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
	// identityRetryInterval is the pause after a connection that failed: a server at the limit of its connections resets new ones, and
	// the kernel resets those that a killed process has not accepted.
	identityRetryInterval = 50 * time.Millisecond
	// maxReportBytes bounds the body of a server's report.
	maxReportBytes = 64 << 10
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
	result serverIdentity
}

// get returns the result of a check that begins after the call of get, or identityUnknown when ctx ends.
func (c *identityChecks) get(ctx context.Context, incarnation uint64, check func() serverIdentity) serverIdentity {
	joined := c.join(incarnation, check)
	select {
	case <-joined.done:
		return joined.result
	case <-ctx.Done():
		return identityUnknown
	}
}

// join returns the next check of a server that has not begun.
func (c *identityChecks) join(incarnation uint64, check func() serverIdentity) *identityCheck {
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
		queue.waiting = &identityCheck{done: make(chan struct{})}
	}
	return queue.waiting
}

// runAll runs the checks of a server one after the other until no call waits.
func (c *identityChecks) runAll(incarnation uint64, check func() serverIdentity) {
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
		next.result = check()
		close(next.done)
	}
}

// findIdentity asks at the address of a placed server which process answers there now. It names the instance, so that another one
// refuses, and reads the start time in the report, which also tells a process that has started again with the same id.
func (s *Server) findIdentity(ctx context.Context, p *backend.Placement) serverIdentity {
	return s.identities.get(ctx, p.Incarnation, func() serverIdentity {
		ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
		defer cancel()
		for {
			identity, err := s.askIdentity(ctx, p)
			if err == nil {
				return identity
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				return identityOther
			}
			select {
			case <-ctx.Done():
				return identityUnknown
			case <-time.After(identityRetryInterval):
			}
		}
	})
}

// askIdentity asks once. It returns an error if no response comes.
func (s *Server) askIdentity(ctx context.Context, p *backend.Placement) (serverIdentity, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return "", errors.Wrapf(err, "connect to %s", p.Address)
	}
	defer conn.Close()
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		_ = conn.SetDeadline(deadline)
	}
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: s.Dialect.ReportPath}, Host: p.Address, Close: true,
		Header: http.Header{s.Dialect.ExpectInstance: {p.ID}, "User-Agent": {""}}, // empty, so that net/http adds none
	}
	if err := request.Write(conn); err != nil {
		return "", errors.Wrapf(err, "ask %s for its report", p.Address)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return "", errors.Wrapf(err, "read report of %s", p.Address)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusMisdirectedRequest {
		return identityOther, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return "", errors.Wrapf(err, "read report of %s", p.Address)
	}
	return s.Dialect.identify(response, body, p.StartUnixMillis), nil
}

// identify tells from the response to a request for the report whether it is that of the process with the given start time, 0 if
// the registry does not tell that. A server that makes no report still signs its responses, and would have refused the instance of
// another one.
func (d *Dialect) identify(response *http.Response, body []byte, startUnixMillis int64) serverIdentity {
	start, found := d.reportedStart(body)
	switch {
	case found && response.StatusCode == http.StatusOK:
		if startUnixMillis != 0 && start != startUnixMillis {
			return identityOther
		}
		return identitySame
	case response.Header.Get(d.ResponseSignature) != "":
		return identitySame
	}
	return identityUnknown
}

// reportedStart returns the start time in a server's report, in Unix milliseconds.
func (d *Dialect) reportedStart(body []byte) (startUnixMillis int64, found bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return 0, false
	}
	err := json.Unmarshal(fields[d.ReportStart], &startUnixMillis)
	return startUnixMillis, err == nil
}
