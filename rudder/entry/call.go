package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/route"
	"chestnutrudder.example/rudder/sleep"
)

const (
	maxKeyBytes     = 255
	maxCallAttempts = 3
	// claimUseTime bounds the time from the grant of a claim to the sending of the call, so that a node that was paused
	// for long does not run a call that its caller has given up.
	claimUseTime = 30 * time.Second
	// Waits between looks at a call in progress with the same key: 50, 100, 200, 400 and 800 ms. Each look is a read of
	// the object API.
	firstClaimWait = 50 * time.Millisecond
	lastClaimWait  = 800 * time.Millisecond
	// settleWait is how long a caller's answer waits for the record of the call. After it the record is written in the
	// background, and a retry that comes before it is told that the outcome is unknown.
	settleWait      = time.Second
	settleTimeLimit = time.Minute
)

// repetition says how often a call may be sent.
type repetition int

const (
	// repeatable calls are sent again when an answer is lost.
	repeatable repetition = iota
	// single calls are sent once for each request of the caller.
	single
	// claimed calls take effect at most once for each idempotency key.
	claimed
)

// repetitionOf decides how often a call may be sent. A call that the route lists as non-idempotent needs a key. Any other
// POST or PATCH with a key is treated the same, as its caller expects it.
func repetitionOf(spec object.RouteSpec, method, cleanPath, key string) repetition {
	for _, pattern := range spec.NonIdempotent {
		if matchesCall(pattern, method, cleanPath) {
			return claimed
		}
	}
	if method == http.MethodPost || method == http.MethodPatch {
		if key != "" {
			return claimed
		}
		return single
	}
	return repeatable
}

// matchesCall compares a call with "METHOD /path", where the path may end in "*".
func matchesCall(pattern, method, cleanPath string) bool {
	wantMethod, wantPath, found := strings.Cut(pattern, " ")
	if !found || wantMethod != method {
		return false
	}
	if prefix, wildcard := strings.CutSuffix(wantPath, "*"); wildcard {
		return strings.HasPrefix(cleanPath, prefix)
	}
	return wantPath == cleanPath
}

// serviceCall is one call of a caller to a plain service.
type serviceCall struct {
	server       *Server
	organisation string
	service      string
	deployment   string
	method       string
	path         string // clean, with a leading slash and without the query
	query        string
	body         []byte
	contentType  string
	key          string
	repetition   repetition
	id           string
}

// call answers a request to a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request, organisation string) {
	c, err := s.newCall(w, r, organisation)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	var reply *peerpb.CallResponse
	if c.repetition == claimed {
		reply, err = c.runClaimed(r.Context())
	} else {
		reply, err = c.send(r.Context())
	}
	if err != nil {
		s.fail(w, r, err)
		return
	}
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(int(reply.Status))
	_, _ = w.Write(reply.Body)
}

func (s *Server) newCall(w http.ResponseWriter, r *http.Request, organisation string) (*serviceCall, error) {
	vars := mux.Vars(r)
	name, spec, found := s.Current.Index().RouteFor(organisation, "", vars["service"])
	if !found {
		return nil, outcome.NotRunErrorf(http.StatusNotFound, 0, "service: %q, allowed: a service that a route of the organisation names", vars["service"])
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, outcome.NotRunErrorf(http.StatusRequestEntityTooLarge, 0, "the body could not be read or has more than %d bytes", maxBodyBytes)
	}
	c := &serviceCall{
		server:       s,
		organisation: organisation,
		service:      vars["service"],
		deployment:   spec.Deployment,
		method:       r.Method,
		path:         path.Clean("/" + vars["path"]),
		query:        r.URL.RawQuery,
		body:         body,
		contentType:  r.Header.Get("Content-Type"),
		key:          r.Header.Get("Idempotency-Key"),
		id:           uuid.NewString(),
	}
	c.repetition = repetitionOf(spec, c.method, c.path, c.key)
	if c.repetition != claimed {
		return c, nil
	}
	if c.key == "" {
		return nil, outcome.NotRunErrorf(http.StatusBadRequest, 0,
			"header Idempotency-Key: %q, allowed: a key, since route %q lists %s %s as non-idempotent", c.key, name, c.method, c.path)
	}
	if len(c.key) > maxKeyBytes {
		return nil, outcome.NotRunErrorf(http.StatusBadRequest, 0, "header Idempotency-Key: %d bytes, allowed: at most %d", len(c.key), maxKeyBytes)
	}
	return c, nil
}

// fingerprint identifies the content of the call, so that a key is not used again for another one.
func (c *serviceCall) fingerprint() string {
	hash := sha256.New()
	for _, part := range []string{c.service, c.method, c.path, c.query} {
		fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(c.body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// runClaimed sends the call only if its claim is durable, and records how it ended.
func (c *serviceCall) runClaimed(ctx context.Context) (*peerpb.CallResponse, error) {
	claim := c.claim(ctx)
	granted := time.Now()
	switch claim.State {
	case peerpb.ClaimState_CLAIM_STATE_GRANTED:
	case peerpb.ClaimState_CLAIM_STATE_DONE:
		return recordedAnswer(claim)
	case peerpb.ClaimState_CLAIM_STATE_CLAIMED:
		return nil, outcome.UnknownErrorf(http.StatusConflict, nil, "a call with this Idempotency-Key is in progress or its answer was lost")
	case peerpb.ClaimState_CLAIM_STATE_MISMATCH:
		return nil, outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "header Idempotency-Key: %q was used for a call with other content", c.key)
	default:
		// The claim may have been written although its answer was lost.
		go c.settle(context.WithoutCancel(ctx), peerpb.Outcome_OUTCOME_NOT_RUN, nil)
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the call could not be claimed: %s", claim.Reason)
	}
	if ctx.Err() != nil || time.Since(granted) > claimUseTime {
		go c.settle(context.WithoutCancel(ctx), peerpb.Outcome_OUTCOME_NOT_RUN, nil)
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the caller left before the call was sent")
	}
	// The call goes on when its caller leaves: its answer is recorded for the caller's retry.
	reply, err := c.send(context.WithoutCancel(ctx))
	switch {
	case err == nil:
		c.settleSoon(ctx, peerpb.Outcome_OUTCOME_DONE, reply)
	case outcome.Of(err) == outcome.NotRun:
		c.settleSoon(ctx, peerpb.Outcome_OUTCOME_NOT_RUN, nil)
	}
	return reply, err
}

// claim asks for the right to send the call. While another call with the same key is in progress it waits a bounded time
// for that call's answer.
func (c *serviceCall) claim(ctx context.Context) *peerpb.ClaimResponse {
	request := &peerpb.ClaimRequest{Organisation: c.organisation, Key: c.key, Fingerprint: c.fingerprint(), Claimant: c.id}
	response := c.server.Claims.Claim(ctx, request)
	for wait := firstClaimWait; wait <= lastClaimWait; wait *= 2 {
		if response.State != peerpb.ClaimState_CLAIM_STATE_CLAIMED || !sleep.For(ctx, wait) {
			break
		}
		response = c.server.Claims.Claim(ctx, request)
	}
	return response
}

func recordedAnswer(claim *peerpb.ClaimResponse) (*peerpb.CallResponse, error) {
	if claim.Reason != "" {
		return nil, &outcome.Error{Outcome: outcome.Done, Status: http.StatusConflict, Reason: "the call was run before: " + claim.Reason}
	}
	return &peerpb.CallResponse{
		Outcome:     peerpb.Outcome_OUTCOME_DONE,
		Status:      claim.Status,
		Body:        claim.Body,
		ContentType: claim.ContentType,
	}, nil
}

// settleSoon records the end of the call and waits for the record for a bounded time.
func (c *serviceCall) settleSoon(ctx context.Context, end peerpb.Outcome, reply *peerpb.CallResponse) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.settle(context.WithoutCancel(ctx), end, reply)
	}()
	select {
	case <-done:
	case <-time.After(settleWait):
	}
}

func (c *serviceCall) settle(ctx context.Context, end peerpb.Outcome, reply *peerpb.CallResponse) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeLimit)
	defer cancel()
	request := &peerpb.SettleRequest{Organisation: c.organisation, Key: c.key, Claimant: c.id, Outcome: end}
	if reply != nil {
		request.Status = reply.Status
		request.Body = reply.Body
		request.ContentType = reply.ContentType
	}
	if !c.server.Claims.Settle(ctx, request) {
		c.server.Log.Warn("Call could not be settled.", "call", c.id, "outcome", end.String())
	}
}

// send makes attempts until one ends. A call is sent again only if the attempt before was not run, or if it is
// repeatable.
func (c *serviceCall) send(ctx context.Context) (*peerpb.CallResponse, error) {
	var tried []string
	var last error
	for attempt := range maxCallAttempts {
		choice, found := c.choose(tried)
		if !found {
			break
		}
		tried = append(tried, choice.Node.Name)
		reply, err := c.attempt(ctx, choice, attempt)
		if err == nil {
			return reply, nil
		}
		if last == nil || outcome.Of(last) == outcome.NotRun {
			// An attempt that may have been run stays the result, whatever the later ones report.
			last = err
		}
		if outcome.Of(err) != outcome.NotRun && c.repetition != repeatable {
			return nil, last
		}
	}
	if last == nil {
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "no dispatcher for deployment %q", c.deployment)
	}
	return nil, last
}

func (c *serviceCall) choose(tried []string) (route.Choice, bool) {
	candidates := route.Candidates(c.deployment, c.id, c.server.Fleet.ServingHosts(), c.server.Members.Live())
	excluded := map[string]bool{}
	for _, name := range tried {
		excluded[name] = true
	}
	choice, found := route.Choose(candidates, excluded)
	if !found && len(candidates) > 0 && len(tried) > 0 {
		// Each dispatcher was tried once; the last one may have other service runners.
		return route.Choice{Node: candidates[len(tried)%len(candidates)], Reason: "every dispatcher was tried"}, true
	}
	return choice, found
}

func (c *serviceCall) attempt(ctx context.Context, choice route.Choice, attempt int) (*peerpb.CallResponse, error) {
	c.server.Decisions.Record("entry", c.id, choice.Reason, choice.Node.Name, decision.OtherCandidates(choice.RejectedCount))
	target := url.URL{Path: c.path, RawQuery: c.query}
	reply, err := c.server.Dial(choice.Node.PeerAddress).Call(ctx, connect.NewRequest(&peerpb.CallRequest{
		Call:         fmt.Sprintf("%s.%d", c.id, attempt+1),
		Organisation: c.organisation,
		Deployment:   c.deployment,
		Method:       c.method,
		Path:         strings.TrimPrefix(target.RequestURI(), "/"),
		Body:         c.body,
		ContentType:  c.contentType,
		Idempotent:   c.repetition == repeatable,
		Revision:     c.server.Current.Index().Number,
	}))
	if errors.Is(err, peer.ErrNotSent) {
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the dispatcher could not be reached")
	}
	if err != nil {
		return nil, outcome.UnknownErrorf(http.StatusBadGateway, err, "the dispatcher's answer was lost")
	}
	return resultOf(reply.Msg)
}

func resultOf(reply *peerpb.CallResponse) (*peerpb.CallResponse, error) {
	switch reply.Outcome {
	case peerpb.Outcome_OUTCOME_DONE:
		return reply, nil
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		retryAfter := time.Duration(reply.RetryAfterMs) * time.Millisecond
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, retryAfter, "%s", reply.Reason)
	default:
		return nil, outcome.UnknownErrorf(http.StatusBadGateway, nil, "the service's answer was lost: %s", reply.Reason)
	}
}

// Claimer grants and settles claims for non-idempotent calls.
type Claimer interface {
	Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse
	Settle(ctx context.Context, request *peerpb.SettleRequest) bool
}
