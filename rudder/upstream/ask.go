package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// maxAnswerBytes bounds the body of an answer to a question.
	maxAnswerBytes = 64 << 10
	// maxIdleTimeForQuestion bounds the idle time of a connection that is used for a question, which may be asked again.
	maxIdleTimeForQuestion = 8 * time.Second
)

// ErrAnswerTooLarge means that a head or a body exceeds what answers to questions have.
var ErrAnswerTooLarge = errors.New("answer is too large")

// Answer is the response to a question.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// IsFromBefore is true if the answer came on a connection that is older than the instant that was given with the question. The
	// process that answered has then accepted connections since before that instant.
	IsFromBefore bool
}

// Ask sends a request about the server itself, which has an answer of at most maxAnswerBytes, until ctx ends. It prefers an idle
// connection from before the given instant to a new one.
func (p *Pool) Ask(ctx context.Context, request *http.Request, before boottime.Instant) (*Answer, error) {
	c := p.popOlder(before)
	isFromBefore := c != nil
	if c == nil {
		var err error
		if c, err = p.connect(ctx); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, c.Abort)
	defer stop()
	answer, response, err := c.ask(request)
	if err != nil {
		c.Abort()
		return nil, errors.Wrapf(err, "ask %s", p.Address)
	}
	if stop() {
		c.Release(response)
	}
	answer.IsFromBefore = isFromBefore
	return answer, nil
}

// ask sends a question and reads the answer.
func (c *Conn) ask(request *http.Request) (*Answer, *http.Response, error) {
	if err := c.Send(request); err != nil {
		return nil, nil, err
	}
	c.source.remaining = maxHeadBytes
	response, err := c.readHead(request)
	for interim := 0; err == nil && response.StatusCode < http.StatusOK; interim++ {
		if interim == maxInterimResponses {
			return nil, nil, ErrAnswerTooLarge
		}
		response, err = c.readHead(request)
	}
	if errors.Is(err, ErrHeadTooLarge) {
		return nil, nil, errors.Wrap(ErrAnswerTooLarge, err.Error())
	}
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Wrapf(ErrAnswerTooLarge, "more than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return nil, nil, err
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, response, nil
}

// popOlder removes an idle connection from before the given instant from the pool. It returns nil if there is none.
func (p *Pool) popOlder(before boottime.Instant) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.idle {
		if c.connectedAt < before && c.isUsable(maxIdleTimeForQuestion) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}
