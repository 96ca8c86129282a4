package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	// callerHeartbeatInterval is the longest time without data on a stream to a caller, which may take a longer one for a
	// broken connection.
	callerHeartbeatInterval = 2 * time.Second
	// writeTimeout bounds each write, so that a caller that reads nothing does not block the goroutine of its connection.
	writeTimeout = 10 * time.Second
	runIDHeader  = "X-Run"
)

func extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// parseEventID splits the ID of a server-sent event into the run ID and the offset of the next token.
func parseEventID(text string) (run string, offset int, err error) {
	run, number, found := strings.Cut(text, "/")
	offset, parseErr := strconv.Atoi(number)
	if !found || run == "" || parseErr != nil || offset < 0 {
		return "", 0, outcome.NotRunErrorf(http.StatusBadRequest, 0, "Last-Event-ID: %q, allowed: <run>/<offset of the next token>", text)
	}
	return run, offset, nil
}

// readRun serves the answer of a run, from the start or from the offset in Last-Event-ID.
func (s *Server) readRun(w http.ResponseWriter, r *http.Request, organisation string) {
	run := mux.Vars(r)["run"]
	offset := 0
	if lastEventID := r.Header.Get("Last-Event-ID"); lastEventID != "" {
		eventRun, eventOffset, err := parseEventID(lastEventID)
		if err == nil && eventRun != run {
			err = outcome.NotRunErrorf(http.StatusBadRequest, 0, "Last-Event-ID: %q, allowed: an event of run %s", lastEventID, run)
		}
		if err != nil {
			s.writeProblem(w, r, err)
			return
		}
		offset = eventOffset
	}
	stream := r.URL.Query().Get("stream") != "false" && r.Header.Get("Accept") != "application/json"
	if s.IsDraining() && s.sessions.find(organisation, run) == nil {
		s.redirectToOtherNode(w, r, run, stream)
		return
	}
	sess, err := s.findSession(r.Context(), organisation, run, nil)
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	s.writeAnswer(w, r, sess, offset, stream)
}

// writeAnswer sends the answer of a session to one caller, as a stream from the offset on or as a whole.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, sess *session, offset int, stream bool) {
	sess.addReader()
	defer sess.removeReader()
	w.Header().Set(runIDHeader, sess.id())
	if stream {
		(&streamWriter{server: s, w: w, r: r, session: sess, offset: offset, startOffset: offset}).run()
		return
	}
	p := sess.progressFrom(0)
	for !p.hasEnded {
		select {
		case <-r.Context().Done():
			return
		case <-p.changed:
		}
		p = sess.progressFrom(0)
	}
	if errors.Is(p.err, errHandedOver) {
		s.redirectToOtherNode(w, r, sess.id(), false)
		return
	}
	if p.err != nil {
		s.writeProblem(w, r, p.err)
		return
	}
	writeJSON(w, http.StatusOK, ChatResponse{
		ID:     sess.id(),
		Object: "chat.completion",
		Model:  sess.request.Model,
		Choices: []ChatChoice{{
			Message:      ChatMessage{Role: "assistant", Content: strings.Join(p.tokens, " ")},
			FinishReason: p.finishReason,
		}},
		Usage: sess.usage(),
	})
}

// streamWriter sends an answer as server-sent events. The ID of an event consists of the run ID and the offset of the next
// token.
type streamWriter struct {
	server         *Server
	w              http.ResponseWriter
	r              *http.Request
	session        *session
	offset         int // of the next token
	startOffset    int // offset at which the stream begins
	hasSentHeaders bool
}

func (sw *streamWriter) run() {
	heartbeat := time.NewTicker(callerHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		p := sw.session.progressFrom(sw.offset)
		if len(p.tokens) > 0 {
			delta := ChatDelta{ID: sw.session.id(), Offset: sw.offset, Tokens: p.tokens}
			sw.offset += len(p.tokens)
			if sw.sendEvent("", delta) != nil {
				return
			}
			heartbeat.Reset(callerHeartbeatInterval)
		}
		if p.hasEnded {
			sw.finish(p)
			return
		}
		select {
		case <-sw.r.Context().Done():
			return
		case <-p.changed:
		case <-heartbeat.C:
			if sw.sendHeartbeat() != nil {
				return
			}
		}
	}
}

// finish sends the last event, or a redirect or problem document if nothing has been sent yet.
func (sw *streamWriter) finish(p progress) {
	switch {
	case errors.Is(p.err, errHandedOver) && !sw.hasSentHeaders:
		sw.server.redirectToOtherNode(sw.w, sw.r, sw.session.id(), true)
	case errors.Is(p.err, errHandedOver):
		if address, found := sw.server.otherNodeAddress(sw.r.RemoteAddr); found {
			_ = sw.sendEvent("moved", MovedEvent{Address: address, Run: sw.session.id(), Offset: sw.offset})
		}
	case p.err != nil && !sw.hasSentHeaders:
		sw.server.writeProblem(sw.w, sw.r, p.err)
	case p.err != nil:
		problem, retryAfter := sw.server.newProblem(p.err)
		problem.RetryAfterSeconds = ceilSeconds(retryAfter)
		_ = sw.sendEvent("error", problem)
	case sw.offset > p.totalTokens:
		err := outcome.NotRunErrorf(http.StatusBadRequest, 0, "Last-Event-ID: offset %d, allowed: at most %d", sw.offset, p.totalTokens)
		if !sw.hasSentHeaders {
			sw.server.writeProblem(sw.w, sw.r, err)
			return
		}
		problem, _ := sw.server.newProblem(err)
		_ = sw.sendEvent("error", problem)
	default:
		usage := sw.session.usage()
		_ = sw.sendEvent("end", ChatDelta{ID: sw.session.id(), Offset: p.totalTokens, FinishReason: p.finishReason, Usage: &usage})
	}
}

// begin sends the headers and an event without tokens, so that the caller can resume even before the first token.
func (sw *streamWriter) begin() error {
	if sw.hasSentHeaders {
		return nil
	}
	sw.hasSentHeaders = true
	sw.w.Header().Set("Content-Type", "text/event-stream")
	sw.w.Header().Set("Cache-Control", "no-store")
	sw.w.WriteHeader(http.StatusOK)
	return writeEvent(sw.w, "", sw.eventID(sw.startOffset), ChatDelta{ID: sw.session.id(), Offset: sw.startOffset})
}

func (sw *streamWriter) eventID(offset int) string {
	return fmt.Sprintf("%s/%d", sw.session.id(), offset)
}

// sendHeartbeat sends a comment, which callers ignore.
func (sw *streamWriter) sendHeartbeat() error {
	extendWriteDeadline(sw.w)
	if err := sw.begin(); err != nil {
		return err
	}
	if _, err := io.WriteString(sw.w, ": heartbeat\n\n"); err != nil {
		return err
	}
	return http.NewResponseController(sw.w).Flush()
}

func (sw *streamWriter) sendEvent(event string, value any) error {
	extendWriteDeadline(sw.w)
	if err := sw.begin(); err != nil {
		return err
	}
	if err := writeEvent(sw.w, event, sw.eventID(sw.offset), value); err != nil {
		return err
	}
	return http.NewResponseController(sw.w).Flush()
}

func writeEvent(w io.Writer, event, id string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if event != "" {
		if _, err := fmt.Fprintf(w, "event: %s\n", event); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "id: %s\ndata: %s\n\n", id, raw)
	return err
}

// cancelRun cancels a run of this node, or at the entry node and the dispatcher that the registry names.
func (s *Server) cancelRun(w http.ResponseWriter, r *http.Request, organisation string) {
	run := mux.Vars(r)["run"]
	if sess := s.sessions.find(organisation, run); sess != nil {
		sess.stop(errCancelled)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var place *peerpb.RunPlace
	if s.Registry != nil {
		place = s.Registry.Find(r.Context(), organisation, "", run)
	}
	if place == nil {
		s.writeProblem(w, r, &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusNotFound, Reason: "run: " + run + " is not known, allowed: a run of the organisation that is in progress"})
		return
	}
	for _, name := range []string{place.EntryNode, place.Dispatcher} {
		if n, found := s.Members.Find(name); found {
			s.sendCancel(n.PeerAddress, &peerpb.CancelRequest{Run: run, Organisation: organisation})
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// stop cancels the session's steps with a cause.
func (s *session) stop(cause error) {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	cancel(cause)
}
