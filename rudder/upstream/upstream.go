// Package upstream is an HTTP/1.1 client with a connection pool for each backend server. Unlike the transport of net/http
// it never repeats a request by itself, and it detects responses that belong to an earlier request. The relay uses it to
// send requests to backend servers.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/connend"
)

const (
	// readBufferBytes is enough for the head of a response and several events of a stream.
	readBufferBytes = 4 << 10
	// writeBufferBytes is enough to send the head and a short body with one write.
	writeBufferBytes = 16 << 10
	// maxMismatchedResponses is how many responses to earlier requests one Receive call skips.
	maxMismatchedResponses = 2
	// maxMismatchedBodyBytes bounds the body of a skipped response.
	maxMismatchedBodyBytes = 1 << 20
	// maxInterimResponses is how many interim responses one Receive call skips.
	maxInterimResponses = 16
	// maxHeadBytes bounds what one Receive call reads from the connection for the heads of responses.
	maxHeadBytes = 256 << 10
	// recentIDCount is the number of requests on a connection whose ids are kept.
	recentIDCount = 32
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
	tcpUserTimeout = 2 * time.Second
)

// Errors that callers match with errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrMismatchedResponse means that the connection delivered only responses to other requests.
	ErrMismatchedResponse = errors.New("response belongs to another request")
	// ErrHeadTooLarge means that the connection delivered too many bytes without the head of the response.
	ErrHeadTooLarge = errors.New("head of the response is too large")
)

// Pool holds the idle connections to one address. It is safe for concurrent use.
type Pool struct {
	Address     string
	DialTimeout time.Duration
	KeepAlive   net.KeepAliveConfig // probes of connections; none if it is not enabled
	// Dial makes a connection; nil means a TCP connection with DialTimeout. Tests replace it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu           sync.Mutex
	idle         []*Conn
	maxIdleConns int // 0 means unlimited
}

// SetMaxIdleConns bounds the number of idle connections in the pool; 0 means unlimited. A server limits its connections
// over all nodes, so each node may hold only a part of them.
func (p *Pool) SetMaxIdleConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdleConns = n
}

// Conn is a connection from a Pool. It carries one request at a time.
type Conn struct {
	*connend.Conn
	pool              *Pool
	source            *headLimiter // of reader
	reader            *bufio.Reader
	Reused            bool                  // the connection came from the pool
	recentIDs         [recentIDCount]uint64 // hashes of the ids of the latest requests, as a ring
	requestCount      int
	connectedAt       boottime.Instant
	idleSince         time.Time
	serverIdleTimeout time.Duration // from the server's Keep-Alive header; 0 means unknown
}

// Get returns a pooled connection that was idle for at most maxIdleTime, or a new one, for the request with the id. A
// connection that lately carried a request with the same id is not used: a late copy of its response could not be told from
// the response to this request. Errors wrap ErrNotSent. The caller passes the connection to Release or Discard.
func (p *Pool) Get(ctx context.Context, id string, maxIdleTime time.Duration) (*Conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.isUsable(maxIdleTime) && !c.hasCarried(id) {
			c.Reused = true
			return c, nil
		}
		c.Discard()
	}
	return p.connect(ctx)
}

// connect makes a new connection. Errors wrap ErrNotSent and their cause.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1, KeepAliveConfig: p.KeepAlive, Control: setTCPUserTimeout}).DialContext
	}
	raw, err := dial(ctx, "tcp", p.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", p.Address, err, ErrNotSent)
	}
	conn := connend.New(raw)
	source := &headLimiter{conn: conn}
	return &Conn{Conn: conn, pool: p, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), connectedAt: boottime.Now()}, nil
}

// headLimiter reads from a connection. While a head is expected, it bounds the bytes, since http.ReadResponse would collect
// a head of any size in memory.
type headLimiter struct {
	conn      net.Conn
	isLimited bool
	remaining int                  // bytes that may still be read while isLimited is true
	onTimeout func() time.Duration // see Conn.OnReadTimeout; may be nil
}

func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.isLimited {
		return l.readConn(b)
	}
	if l.remaining <= 0 {
		return 0, errors.Wrapf(ErrHeadTooLarge, "more than %d bytes", maxHeadBytes)
	}
	n, err := l.readConn(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// readConn reads from the connection. When the read deadline expires, it asks onTimeout whether to go on.
func (l *headLimiter) readConn(b []byte) (int, error) {
	for {
		n, err := l.conn.Read(b)
		if l.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wait := l.onTimeout()
		if wait <= 0 {
			return n, err
		}
		if err := l.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return n, err
		}
	}
}

// OnReadTimeout sets a function that is called when the read deadline expires, in the goroutine that reads. It returns how
// much longer to wait, or 0 to let the read fail. Nil means that the read fails.
func (c *Conn) OnReadTimeout(f func() time.Duration) { c.source.onTimeout = f }

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// CloseIdle closes the pooled connections that were idle for at least minIdleTime.
func (p *Pool) CloseIdle(minIdleTime time.Duration) {
	now := time.Now()
	p.mu.Lock()
	var remaining, expired []*Conn
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= minIdleTime {
			expired = append(expired, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

// isUsable reports whether an idle connection can carry a request: it was idle for at most maxIdleTime, the server has
// not closed it, and no unsolicited bytes have arrived.
func (c *Conn) isUsable(maxIdleTime time.Duration) bool {
	if c.serverIdleTimeout > 0 {
		// The server started its idle timer before the response arrived here; half of its timeout leaves a safe margin.
		maxIdleTime = min(maxIdleTime, c.serverIdleTimeout/2)
	}
	if time.Since(c.idleSince) > maxIdleTime || c.reader.Buffered() > 0 {
		return false
	}
	return c.Peek() == connend.UnreadNothing
}

// HasUnread reports whether bytes, or the end of the connection, have arrived and were not read from the socket yet. It does not wait.
func (c *Conn) HasUnread() bool {
	unread := c.Peek()
	return unread == connend.UnreadBytes || unread == connend.UnreadEnd
}

// hasCarried reports whether a request with the id is among the latest requests on the connection.
func (c *Conn) hasCarried(id string) bool {
	return slices.Contains(c.recentIDs[:min(c.requestCount, recentIDCount)], xxhash.Sum64String(id))
}

// recordID records the id of a request on the connection.
func (c *Conn) recordID(id string) {
	c.recentIDs[c.requestCount%recentIDCount] = xxhash.Sum64String(id)
	c.requestCount++
}

// Discard closes an idle connection or one whose response was read completely.
func (c *Conn) Discard() { _ = c.Conn.Close() }

// Abort resets the connection. Bytes of a request that are still on their way are dropped: after an orderly close, a
// delayed request would reach the server and run long after this node gave it up.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Conn.Close()
}

// Release returns the connection to its pool after the response was read completely. It closes the connection if the
// server asked for that or sent more than the response, or if the pool is full.
func (c *Conn) Release(response *http.Response) {
	if response.Close || c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	if timeout, found := keepAliveTimeout(response.Header); found {
		c.serverIdleTimeout = timeout
	}
	c.idleSince = time.Now()
	if !c.pool.push(c) {
		c.Discard()
	}
}

// push adds an idle connection, or returns false if the pool is full.
func (p *Pool) push(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxIdleConns > 0 && len(p.idle) >= p.maxIdleConns {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// keepAliveTimeout reads the timeout parameter of the Keep-Alive header, in whole seconds (RFC 2068, section 19.7.1).
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// Send writes a request. An error that wraps ErrNotSent means that no byte of it was written to the connection; after any
// other error the server may have received the request.
func (c *Conn) Send(request *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	counter := &countingWriter{conn: c.Conn}
	w.Reset(counter)
	defer func() {
		w.Reset(nil)
		writerPool.Put(w)
	}()
	err := request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	switch {
	case err == nil:
		return nil
	case counter.written == 0:
		return errors.Wrapf(ErrNotSent, "write request to %s: %v", c.Conn.RemoteAddr(), err)
	default:
		return errors.Wrapf(err, "write request to %s", c.Conn.RemoteAddr())
	}
}

// countingWriter counts the bytes written to a connection.
type countingWriter struct {
	conn    net.Conn
	written int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.conn.Write(b)
	w.written += n
	return n, err
}

// Receive reads the head of the response to a request whose id is in the header idHeader. Responses with another id belong
// to earlier requests on this connection and are skipped; after too many of them, or one with too long a body, the error
// wraps ErrMismatchedResponse. Bytes without end that contain no head give ErrHeadTooLarge. A head that no sound server sends
// gives ErrMalformedResponse, as does reading a body that begins with another head.
func (c *Conn) Receive(request *http.Request, idHeader string) (*http.Response, error) {
	id := request.Header.Get(idHeader)
	c.recordID(id)
	c.source.remaining = maxHeadBytes
	interim, mismatched := 0, 0
	for interim <= maxInterimResponses && mismatched <= maxMismatchedResponses {
		response, err := c.readHead(request)
		if err != nil {
			return nil, errors.Wrapf(err, "read response from %s", c.Conn.RemoteAddr())
		}
		if response.StatusCode < http.StatusOK {
			interim++
			continue
		}
		got := response.Header.Get(idHeader)
		// A server that refuses a request before reading it sends no id.
		if got == id || got == "" && response.StatusCode >= 300 && !c.Reused {
			if err := c.checkUnread(response); err != nil {
				return nil, errors.Wrapf(err, "read response from %s", c.Conn.RemoteAddr())
			}
			return response, nil
		}
		if got == "" {
			break // on a reused connection, even a refusal may belong to an earlier request
		}
		if response.Close {
			break // nothing follows it on this connection
		}
		mismatched++
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBodyBytes)); err != nil || n == maxMismatchedBodyBytes {
			break
		}
	}
	return nil, errors.Wrapf(ErrMismatchedResponse, "read response from %s", c.Conn.RemoteAddr())
}

// readHead reads one head. What it reads is bounded over all heads of a Receive call.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.source.isLimited = true
	defer func() { c.source.isLimited = false }()
	if err := c.checkOldFraming(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		return nil, err
	}
	if response.Body != http.NoBody && !hasMessages(response.Header) {
		response.Body = &bodyStart{ReadCloser: response.Body, reader: c.reader}
	}
	return response, nil
}
