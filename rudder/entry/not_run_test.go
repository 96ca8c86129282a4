package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chestnutrudder.example/rudder/outcome"
)

// Guards against a stopping node that answers 503, which tells callers that nothing has run, for a run that it has handed over.
func TestHandedOverRunIsNotAnsweredAsNotRun(t *testing.T) {
	recorder := httptest.NewRecorder()
	server := newCallServer(nil, nil)
	server.redirectToOtherNode(recorder, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil), "run-1", false)
	if body := recorder.Body.String(); recorder.Code != http.StatusBadGateway || !strings.Contains(body, `"run":"unknown"`) {
		t.Errorf("status %d and body %s, want 502 with run unknown", recorder.Code, body)
	}
}

// Guards against a problem document whose status denies the run that the document calls unknown.
func TestStatusOfProblemAgreesWithItsOutcome(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict, http.StatusGatewayTimeout} {
		want := status
		if outcome.ImpliesNotRun(status) {
			want = http.StatusBadGateway
		}
		if problem, _ := newCallServer(nil, nil).newProblem(outcome.UnknownErrorf(status, nil, "lost")); problem.Status != want {
			t.Errorf("unknown outcome with status %d: problem has status %d, want %d", status, problem.Status, want)
		}
		if problem, _ := newCallServer(nil, nil).newProblem(outcome.NotRunErrorf(status, 0, "refused")); problem.Status != status {
			t.Errorf("not run with status %d: problem has status %d", status, problem.Status)
		}
	}
}
