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

// scriptedDispatcher answers calls in turn from a script and counts them.
type scriptedDispatcher struct {
	peerpbconnect.PeerServiceClient
	script []string // done, not-run, unknown, not-sent, broken
	sent   int
}

func (d *scriptedDispatcher) Call(context.Context, *connect.Request[peerpb.CallRequest]) (*connect.Response[peerpb.CallResponse], error) {
	step := d.script[min(d.sent, len(d.script)-1)]
	d.sent++
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

// scriptedClaims answers every claim alike and remembers the settlements.
type scriptedClaims struct {
	state   peerpb.ClaimState
	settled []peerpb.Outcome
	done    chan struct{}
}

func (c *scriptedClaims) Claim(context.Context, *peerpb.ClaimRequest) *peerpb.ClaimResponse {
	return &peerpb.ClaimResponse{State: c.state, Status: http.StatusOK, Body: []byte("answer")}
}

func (c *scriptedClaims) Settle(_ context.Context, request *peerpb.SettleRequest) bool {
	c.settled = append(c.settled, request.Outcome)
	close(c.done)
	return true
}

// TestCallOutcomes guards against a call that is sent again although it may have been run, and against a caller that is
// told "no" for such a call.
func TestCallOutcomes(t *testing.T) {
	const granted = peerpb.ClaimState_CLAIM_STATE_GRANTED
	for _, test := range []struct {
		name    string
		method  string
		key     string
		claim   peerpb.ClaimState
		script  []string
		status  int
		run     string // empty for an answer
		sent    int
		settled string
	}{
		{"read again after a break", http.MethodGet, "", 0, []string{"broken", "done"}, 200, "", 2, ""},
		{"read lost and then not run", http.MethodGet, "", 0, []string{"unknown", "not-run"}, 502, `"run":"unknown"`, 3, ""},
		{"single call broken", http.MethodPost, "", 0, []string{"broken", "done"}, 400, `"run":"no"`, 0, ""},
		{"claimed call done", http.MethodPost, "k", granted, []string{"done"}, 200, "", 1, "OUTCOME_DONE"},
		{"claimed call broken", http.MethodPost, "k", granted, []string{"broken", "done"}, 502, `"run":"unknown"`, 1, ""},
		{"claimed call refused twice", http.MethodPost, "k", granted, []string{"not-run", "not-run", "done"}, 200, "", 3, "OUTCOME_DONE"},
		{"claimed call to a dead dispatcher", http.MethodPost, "k", granted, []string{"not-sent", "done"}, 200, "", 2, "OUTCOME_DONE"},
		{"claimed call refused, then lost", http.MethodPost, "k", granted, []string{"not-run", "unknown", "done"}, 502, `"run":"unknown"`, 2, ""},
		{"claimed call never run", http.MethodPost, "k", granted, []string{"not-run"}, 503, `"run":"no"`, 3, "OUTCOME_NOT_RUN"},
		{"claim unavailable", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_UNAVAILABLE, []string{"done"}, 503, `"run":"no"`, 0, "OUTCOME_NOT_RUN"},
		{"claim of another call", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_CLAIMED, []string{"done"}, 409, `"run":"unknown"`, 0, ""},
		{"recorded answer", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_DONE, []string{"done"}, 200, "", 0, ""},
		{"key of other content", http.MethodPost, "k", peerpb.ClaimState_CLAIM_STATE_MISMATCH, []string{"done"}, 422, `"run":"no"`, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			dispatcher := &scriptedDispatcher{script: test.script}
			claims := &scriptedClaims{state: test.claim, done: make(chan struct{})}
			server := callServer(dispatcher, claims)
			request := httptest.NewRequest(test.method, "/v1/services/orders//deposits/", strings.NewReader("{}"))
			request.Header.Set("Authorization", "Bearer secret")
			if test.key != "" {
				request.Header.Set("Idempotency-Key", test.key)
			}
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, request)
			if test.settled != "" {
				<-claims.done
				if got := claims.settled[0].String(); got != test.settled {
					t.Errorf("settled as %s, expected %s", got, test.settled)
				}
			}
			body := recorder.Body.String()
			if recorder.Code != test.status || !strings.Contains(body, test.run) || test.run == "" && body != "answer" {
				t.Errorf("status %d, body %s; expected status %d and %s", recorder.Code, body, test.status, test.run)
			}
			if dispatcher.sent != test.sent {
				t.Errorf("sent %d times, expected %d", dispatcher.sent, test.sent)
			}
		})
	}
}

// callServer returns an entry server with one dispatcher and a route whose POST /deposits is non-idempotent.
func callServer(dispatcher peerpbconnect.PeerServiceClient, claims Claimer) *Server {
	members := membership.NewTable(membership.Node{Name: "n1", FailureDomain: "pasig", PeerAddress: "127.0.0.1:1"})
	hosts := fleet.NewTable()
	hosts.Update([]cloud.Host{{Name: "s1", FailureDomain: "pasig", State: cloud.HostLive, Backend: object.BackendService, Deployment: "order-service"}})
	current := &revision.Current{}
	const secretSHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	current.SetIfNewer(revision.Snapshot{Number: 1, Objects: []object.Object{
		{Name: "duwende-luzon", Organisation: &object.OrganisationSpec{TokenSHA256: []string{secretSHA256}}},
		{Name: "orders", Route: &object.RouteSpec{Service: "orders", Deployment: "order-service", NonIdempotent: []string{"POST /deposits"}}},
	}})
	return &Server{
		Members: members, Fleet: hosts, Current: current, Claims: claims,
		Dial: func(string) peerpbconnect.PeerServiceClient { return dispatcher },
		Log:  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}
