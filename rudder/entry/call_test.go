package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
	"chestnutrudder.example/rudder/revision"
)

// scriptedDispatcher answers calls with the outcomes of a script in order, then repeats the last one. It counts the calls.
type scriptedDispatcher struct {
	peerpbconnect.PeerServiceClient
	script    []string // done, not-run, unknown, not-sent, broken
	callCount int
}

func (d *scriptedDispatcher) Call(context.Context, *connect.Request[peerpb.CallRequest]) (*connect.Response[peerpb.CallResponse], error) {
	step := d.script[min(d.callCount, len(d.script)-1)]
	d.callCount++
	switch step {
	case "done":
		return connect.NewResponse(&peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_DONE, Status: http.StatusOK, Body: []byte("answer")}), nil
	case "not-run":
		return connect.NewResponse(&peerpb.CallResponse{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}), nil
	case "unknown":
		return connect.NewResponse(&peerpb.CallResponse{}), nil
	case "not-sent":
		return nil, connect.NewError(connect.CodeUnavailable, peer.ErrNotSent)
	default:
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection broke"))
	}
}

// fakeClaimer returns the same state for every claim and stores the settled outcomes.
type fakeClaimer struct {
	state           peerpb.ClaimState
	settledOutcomes []peerpb.Outcome
	settledCh       chan struct{}
}

func (c *fakeClaimer) Claim(context.Context, *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	return &peerpb.ClaimResponse{State: c.state, Status: http.StatusOK, Body: []byte("answer")}
}

func (c *fakeClaimer) Settle(_ context.Context, request *peerpb.SettleRequest) bool {
	c.settledOutcomes = append(c.settledOutcomes, request.Outcome)
	close(c.settledCh)
	return true
}

// TestCallOutcomes guards against sending a non-idempotent call again although it may have been run, and against reporting
// it as not run.
func TestCallOutcomes(t *testing.T) {
	const granted = peerpb.ClaimState_CLAIM_STATE_GRANTED
	for _, test := range []struct {
		name          string
		method        string
		key           string
		claim         peerpb.ClaimState
		script        []string
		status        int
		run           string // part of the problem document, empty for an answer
		expectedCalls int
		settled       string
	}{
		{"read is retried after a broken connection", http.MethodGet, "", 0, []string{"broken", "done"}, 200, "", 2, ""},
		{"read with unknown outcome stays unknown after refusals", http.MethodGet, "", 0, []string{"unknown", "not-run"}, 502, `"run":"unknown"`, 3, ""},
		{"non-idempotent call without a key is refused", http.MethodPost, "", 0, []string{"broken", "done"}, 400, `"run":"no"`, 0, ""},
		{"claimed call is done", http.MethodPost, "k", granted, []string{"done"}, 200, "", 1, "OUTCOME_DONE"},
		{"claimed call is not retried after a broken connection", http.MethodPost, "k", granted, []string{"broken", "done"}, 502, `"run":"unknown"`, 1, ""},
		{"claimed call is retried after two refusals", http.MethodPost, "k", granted, []string{"not-run", "not-run", "done"}, 200, "", 3, "OUTCOME_DONE"},
		{"claimed call is retried after a failed connection", http.MethodPost, "k", granted, []string{"not-sent", "done"}, 200, "", 2, "OUTCOME_DONE"},
		{"claimed call is not retried after an unknown outcome", http.MethodPost, "k", granted, []string{"not-run", "unknown", "done"}, 502, `"run":"unknown"`, 2, ""},
		{"claimed call that all attempts refuse is settled as not run", http.MethodPost, "k", granted, []string{"not-run"}, 503, `"run":"no"`, 3, "OUTCOME_NOT_RUN"},
		{"call is not sent if its claim is unavailable", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, []string{"done"}, 503, `"run":"no"`, 0, "OUTCOME_NOT_RUN"},
		{"call is not sent if another call has the claim", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_CLAIMED, []string{"done"}, 409, `"run":"unknown"`, 0, ""},
		{"recorded answer is returned", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_DONE, []string{"done"}, 200, "", 0, ""},
		{"key with other content is refused", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_MISMATCH, []string{"done"}, 422, `"run":"no"`, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			dispatcher := &scriptedDispatcher{script: test.script}
			claims := &fakeClaimer{state: test.claim, settledCh: make(chan struct{})}
			server := newCallServer(dispatcher, claims)
			request := httptest.NewRequest(test.method, "/v1/services/orders//deposits/", strings.NewReader("{}"))
			request.Header.Set("Authorization", "Bearer secret")
			if test.key != "" {
				request.Header.Set("Idempotency-Key", test.key)
			}
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, request)
			if test.settled != "" {
				<-claims.settledCh
				if got := claims.settledOutcomes[0].String(); got != test.settled {
					t.Errorf("claim settled as %s, expected %s", got, test.settled)
				}
			}
			body := recorder.Body.String()
			if recorder.Code != test.status || !strings.Contains(body, test.run) || test.run == "" && body != "answer" {
				t.Errorf("response has status %d and body %s; expected status %d and a body with %s", recorder.Code, body, test.status, test.run)
			}
			if dispatcher.callCount != test.expectedCalls {
				t.Errorf("call was sent %d times, expected %d", dispatcher.callCount, test.expectedCalls)
			}
		})
	}
}

// newCallServer returns an entry server with one dispatcher and a route whose POST /deposits is non-idempotent.
func newCallServer(dispatcher peerpbconnect.PeerServiceClient, claims Claimer) *Server {
	members := membership.NewTable(membership.Node{Name: "n1", FailureDomain: "pasig", PeerAddress: "127.0.0.1:1"})
	hosts := fleet.NewTable()
	hosts.Update([]cloud.Host{{Name: "s1", FailureDomain: "pasig", State: cloud.HostLive, Backend: object.BackendService, Deployment: "order-service"}})
	currentSnapshot := &revision.CurrentSnapshot{}
	const secretSHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	currentSnapshot.SetIfNewer(revision.Snapshot{Number: 1, Objects: []object.Object{
		{Name: "duwende-luzon", Organisation: &object.OrganisationSpec{TokenSHA256: []string{secretSHA256}}},
		{Name: "orders", Route: &object.RouteSpec{Service: "orders", Deployment: "order-service", NonIdempotent: []string{"POST /deposits"}}},
	}})
	return &Server{
		Members: members, Fleet: hosts, CurrentSnapshot: currentSnapshot, Claims: claims,
		Dial: func(string) peerpbconnect.PeerServiceClient { return dispatcher },
		Log:  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}
