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
	maxIdempotencyKeyBytes = 255
	maxCallAttempts        = 3
	// claimUseTimeout bounds the time between the grant of a claim and the sending of the call, so that a node that resumes
	// after a long pause does not send a call that its caller has given up.
	claimUseTimeout = 30 * time.Second
	// A claim that another call with the same key holds is polled after 50, 100, 200, 400 and 800 ms. Each poll reads the
	// object API.
	firstClaimPollInterval = 50 * time.Millisecond
	lastClaimPollInterval  = 800 * time.Millisecond
	// settleWaitTimeout bounds the delay of the caller's response until the outcome of the call is recorded. After that the
	// recording continues in the background, and a retry that arrives before its end gets an unknown outcome.
	settleWaitTimeout = time.Second
	// settleTimeout bounds the recording of an outcome, including its part in the background.
	settleTimeout = time.Minute
)

// deliveryMode is the delivery guarantee of a call. It decides when the call may be sent again.
type deliveryMode int

const (
	// atLeastOnce calls are idempotent. They are sent again after a lost answer.
	atLeastOnce deliveryMode = iota
	// atMostOncePerRequest calls take effect at most once for each request of the caller. They are sent again only after an
	// attempt that was not run.
	atMostOncePerRequest
	// atMostOncePerKey calls take effect at most once for each idempotency key, over all requests of the caller. They are
	// sent only with a claim of the key.
	atMostOncePerKey
)

// deliveryModeOf returns the delivery mode of a call. A call that the route lists as non-idempotent must have an
// idempotency key. Any other POST or PATCH with a key gets the same guarantee, as its caller expects it.
func deliveryModeOf(spec object.RouteSpec, method, cleanPath, key string) deliveryMode {
	for _, pattern := range spec.NonIdempotent {
		if matchesCallPattern(pattern, method, cleanPath) {
			return atMostOncePerKey
		}
	}
	if method == http.MethodPost || method == http.MethodPatch {
		if key != "" {
			return atMostOncePerKey
		}
		return atMostOncePerRequest
	}
	return atLeastOnce
}

// matchesCallPattern reports whether a call matches the pattern "METHOD /path". A path that ends in "*" matches by prefix.
func matchesCallPattern(pattern, method, cleanPath string) bool {
	wantMethod, wantPath, found := strings.Cut(pattern, " ")
	if !found || wantMethod != method {
		return false
	}
	if prefix, isWildcard := strings.CutSuffix(wantPath, "*"); isWildcard {
		return strings.HasPrefix(cleanPath, prefix)
	}
	return wantPath == cleanPath
}

// serviceCall is a caller's call to a plain service.
type serviceCall struct {
	server       *Server
	organisation string
	service      string
	deployment   string
	method       string
	path         string // cleaned, with a leading slash and without the query
	query        string
	body         []byte
	contentType  string
	key          string
	delivery     deliveryMode
	id           string
}

// callService handles a call to a plain service.
func (s *Server) callService(w http.ResponseWriter, r *http.Request, organisation string) {
	c, err := s.newServiceCall(w, r, organisation)
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	var reply *peerpb.CallResponse
	if c.delivery == atMostOncePerKey {
		reply, err = c.sendClaimed(r.Context())
	} else {
		reply, err = c.send(r.Context())
	}
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(int(reply.Status))
	_, _ = w.Write(reply.Body)
}

func (s *Server) newServiceCall(w http.ResponseWriter, r *http.Request, organisation string) (*serviceCall, error) {
	vars := mux.Vars(r)
	name, spec, found := s.CurrentSnapshot.Index().RouteFor(organisation, "", vars["service"])
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
	c.delivery = deliveryModeOf(spec, c.method, c.path, c.key)
	if c.delivery != atMostOncePerKey {
		return c, nil
	}
	if c.key == "" {
		return nil, outcome.NotRunErrorf(http.StatusBadRequest, 0,
			"header Idempotency-Key: %q, allowed: a key, since route %q lists %s %s as non-idempotent", c.key, name, c.method, c.path)
	}
	if len(c.key) > maxIdempotencyKeyBytes {
		return nil, outcome.NotRunErrorf(http.StatusBadRequest, 0, "header Idempotency-Key: %d bytes, allowed: at most %d", len(c.key), maxIdempotencyKeyBytes)
	}
	return c, nil
}

// fingerprint hashes the content of the call, to detect an idempotency key that is used again for another call.
func (c *serviceCall) fingerprint() string {
	hash := sha256.New()
	for _, part := range []string{c.service, c.method, c.path, c.query} {
		fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(c.body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// sendClaimed sends the call only after its claim is stored durably, and records the outcome.
func (c *serviceCall) sendClaimed(ctx context.Context) (*peerpb.CallResponse, error) {
	claim := c.acquireClaim(ctx)
	grantedAt := time.Now()
	switch claim.State {
	case peerpb.ClaimState_CLAIM_STATE_GRANTED:
	case peerpb.ClaimState_CLAIM_STATE_DONE:
		return recordedResponse(claim)
	case peerpb.ClaimState_CLAIM_STATE_CLAIMED:
		return nil, outcome.UnknownErrorf(http.StatusConflict, nil, "a call with this Idempotency-Key is in progress or its answer was lost")
	case peerpb.ClaimState_CLAIM_STATE_MISMATCH:
		return nil, outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "header Idempotency-Key: %q was used for a call with other content", c.key)
	default:
		// The claim may have been stored although the response to it was lost.
		go c.settle(context.WithoutCancel(ctx), peerpb.Outcome_OUTCOME_NOT_RUN, nil)
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the call could not be claimed: %s", claim.Reason)
	}
	if ctx.Err() != nil || time.Since(grantedAt) > claimUseTimeout {
		go c.settle(context.WithoutCancel(ctx), peerpb.Outcome_OUTCOME_NOT_RUN, nil)
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the caller left before the call was sent")
	}
	// The call continues after its caller has disconnected: its answer is recorded for the caller's retry.
	reply, err := c.send(context.WithoutCancel(ctx))
	switch {
	case err == nil:
		c.settleAndWait(ctx, peerpb.Outcome_OUTCOME_DONE, reply)
	case outcome.Of(err) == outcome.NotRun:
		c.settleAndWait(ctx, peerpb.Outcome_OUTCOME_NOT_RUN, nil)
	}
	return reply, err
}

// acquireClaim claims the call's idempotency key, which is the right to send the call. While another call with the same key
// is in progress, it polls for that call's answer for a bounded time.
func (c *serviceCall) acquireClaim(ctx context.Context) *peerpb.ClaimResponse {
	request := &peerpb.ClaimRequest{Organisation: c.organisation, Key: c.key, Fingerprint: c.fingerprint(), Claimant: c.id}
	response := c.server.Claims.Claim(ctx, request)
	for interval := firstClaimPollInterval; interval <= lastClaimPollInterval; interval *= 2 {
		if response.State != peerpb.ClaimState_CLAIM_STATE_CLAIMED || !sleep.For(ctx, interval) {
			break
		}
		response = c.server.Claims.Claim(ctx, request)
	}
	return response
}

// recordedResponse returns the response of the earlier call with the same key, or an error with the reason why
// the response was not recorded.
func recordedResponse(claim *peerpb.ClaimResponse) (*peerpb.CallResponse, error) {
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

// settleAndWait records the outcome of the call. It waits for that up to settleWaitTimeout; after that the recording
// continues in the background.
func (c *serviceCall) settleAndWait(ctx context.Context, callOutcome peerpb.Outcome, reply *peerpb.CallResponse) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.settle(context.WithoutCancel(ctx), callOutcome, reply)
	}()
	select {
	case <-done:
	case <-time.After(settleWaitTimeout):
	}
}

func (c *serviceCall) settle(ctx context.Context, callOutcome peerpb.Outcome, reply *peerpb.CallResponse) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	request := &peerpb.SettleRequest{Organisation: c.organisation, Key: c.key, Claimant: c.id, Outcome: callOutcome}
	if reply != nil {
		request.Status = reply.Status
		request.Body = reply.Body
		request.ContentType = reply.ContentType
	}
	if !c.server.Claims.Settle(ctx, request) {
		c.server.Log.Warn("Failed to record the outcome of a call; its claim may stay open.", "call", c.id, "outcome", callOutcome.String())
	}
}

// send sends the call until an attempt is answered, at most maxCallAttempts times. It sends the call again only if the
// previous attempt was not run or the delivery mode is atLeastOnce.
func (c *serviceCall) send(ctx context.Context) (*peerpb.CallResponse, error) {
	var triedNodes []string
	var callErr error
	for attempt := range maxCallAttempts {
		choice, found := c.chooseDispatcher(triedNodes)
		if !found {
			break
		}
		triedNodes = append(triedNodes, choice.Node.Name)
		reply, err := c.sendAttempt(ctx, choice, attempt)
		if err == nil {
			return reply, nil
		}
		if callErr == nil || outcome.Of(callErr) == outcome.NotRun {
			// The error of an attempt that may have been run is kept: later attempts cannot make the outcome "not run".
			callErr = err
		}
		if outcome.Of(err) != outcome.NotRun && c.delivery != atLeastOnce {
			return nil, callErr
		}
	}
	if callErr == nil {
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "no dispatcher for deployment %q", c.deployment)
	}
	return nil, callErr
}

func (c *serviceCall) chooseDispatcher(triedNodes []string) (route.Choice, bool) {
	candidates := route.Candidates(c.deployment, c.id, c.server.Fleet.ServingHosts(), c.server.Members.Live())
	excluded := map[string]bool{}
	for _, name := range triedNodes {
		excluded[name] = true
	}
	choice, found := route.Choose(candidates, excluded)
	if !found && len(candidates) > 0 && len(triedNodes) > 0 {
		// Each dispatcher was tried once. They are tried again in order, since they may have other service runners.
		return route.Choice{Node: candidates[len(triedNodes)%len(candidates)], Reason: "every dispatcher was tried"}, true
	}
	return choice, found
}

func (c *serviceCall) sendAttempt(ctx context.Context, choice route.Choice, attempt int) (*peerpb.CallResponse, error) {
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
		Idempotent:   c.delivery == atLeastOnce,
		Revision:     c.server.CurrentSnapshot.Index().Number,
	}))
	if errors.Is(err, peer.ErrNotSent) {
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, time.Second, "the dispatcher could not be reached")
	}
	if err != nil {
		return nil, outcome.UnknownErrorf(http.StatusBadGateway, err, "the dispatcher's answer was lost")
	}
	return checkOutcome(reply.Msg)
}

// checkOutcome returns the reply if the call was run and answered, else an error with the outcome of the call.
func checkOutcome(reply *peerpb.CallResponse) (*peerpb.CallResponse, error) {
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
	// Claim claims the key of a call and returns the state of the claim, with the recorded answer if the call is done.
	Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse
	// Settle records the outcome of a claimed call and reports whether it was recorded.
	Settle(ctx context.Context, request *peerpb.SettleRequest) bool
}
