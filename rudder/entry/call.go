package entry

import (
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/route"
)

// call sends a request to a plain service. It is sent once; a caller that gets run "no" may send it again.
func (s *Server) call(w http.ResponseWriter, r *http.Request, organisation string) {
	name := mux.Vars(r)["service"]
	_, spec, found := s.Current.Index().RouteFor(organisation, "", name)
	if !found {
		s.fail(w, r, outcome.Refuse(http.StatusNotFound, 0, "service: %q, allowed: a service that a route of the organisation names", name))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.fail(w, r, outcome.Refuse(http.StatusRequestEntityTooLarge, 0, "the body has more than %d bytes", maxBodyBytes))
		return
	}
	request := &peerpb.CallRequest{
		Call:         uuid.NewString(),
		Organisation: organisation,
		Deployment:   spec.Deployment,
		Method:       r.Method,
		Path:         mux.Vars(r)["path"],
		Body:         body,
		ContentType:  r.Header.Get("Content-Type"),
	}
	reply, err := s.sendCall(r, request)
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

func (s *Server) sendCall(r *http.Request, request *peerpb.CallRequest) (*peerpb.CallResponse, error) {
	candidates := route.Candidates(request.Deployment, request.Call, s.Fleet.Serving(), s.Members.Live())
	choice, found := route.Choose(candidates, nil)
	if !found {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, time.Second, "no dispatcher for deployment %q", request.Deployment)
	}
	s.Decisions.Record("entry", request.Call, choice.Reason, choice.Node.Name, decision.Others(choice.Rejected))
	reply, err := s.Dial(choice.Node.PeerAddress).Call(r.Context(), connect.NewRequest(request))
	if err != nil {
		return nil, outcome.Lost(http.StatusBadGateway, err, "the dispatcher's answer was lost")
	}
	switch reply.Msg.Outcome {
	case peerpb.Outcome_OUTCOME_DONE:
		return reply.Msg, nil
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return nil, outcome.Refuse(http.StatusServiceUnavailable, time.Duration(reply.Msg.RetryAfterMs)*time.Millisecond, "%s", reply.Msg.Reason)
	default:
		return nil, outcome.Lost(http.StatusBadGateway, nil, "the service's answer was lost: %s", reply.Msg.Reason)
	}
}
