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
	// callerHeartbeat is the longest silence of a stream; a caller may take a longer one for a dead connection.
	callerHeartbeat = 2 * time.Second
	// writeTimeout bounds each write, so that a caller that reads nothing does not hold its connection's goroutine.
	writeTimeout = 10 * time.Second
	runHeader    = "X-Run"
)

func extendWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// parseEventID splits the id of a server-sent event: the run and the offset of the next token.
func parseEventID(text string) (run string, offset int, err error) {
	run, number, found := strings.Cut(text, "/")
	offset, parseErr := strconv.Atoi(number)
	if !found || run == "" || parseErr != nil || offset < 0 {
		return "", 0, outcome.NotRunErrorf(http.StatusBadRequest, 0, "Last-Event-ID: %q, allowed: <run>/<offset of the next token>", text)
	}
	return run, offset, nil
}

// readRun reads the answer of a run, from the start or from the offset of Last-Event-ID.
func (s *Server) readRun(w http.ResponseWriter, r *http.Request, organisation string) {
	run := mux.Vars(r)["run"]
	offset := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		named, at, err := parseEventID(last)
		if err == nil && named != run {
			err = outcome.NotRunErrorf(http.StatusBadRequest, 0, "Last-Event-ID: %q, allowed: an event of run %s", last, run)
		}
		if err != nil {
			s.fail(w, r, err)
			return
		}
		offset = at
	}
	stream := r.URL.Query().Get("stream") != "false" && r.Header.Get("Accept") != "application/json"
	if s.Draining() && s.sessions.find(organisation, run) == nil {
		s.seeOther(w, r, run, stream)
		return
	}
	one, err := s.find(r.Context(), organisation, run, nil)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	s.deliver(w, r, one, offset, stream)
}

// deliver sends the answer of a session to one caller.
func (s *Server) deliver(w http.ResponseWriter, r *http.Request, one *session, offset int, stream bool) {
	one.enter()
	defer one.leave()
	w.Header().Set(runHeader, one.id())
	if stream {
		(&streamWriter{server: s, w: w, r: r, one: one, offset: offset, begun: offset}).run()
		return
	}
	p := one.progress(0)
	for !p.ended {
		select {
		case <-r.Context().Done():
			return
		case <-p.changed:
		}
		p = one.progress(0)
	}
	if errors.Is(p.err, errHandedOver) {
		s.seeOther(w, r, one.id(), false)
		return
	}
	if p.err != nil {
		s.fail(w, r, p.err)
		return
	}
	writeJSON(w, http.StatusOK, ChatAnswer{
		ID:     one.id(),
		Object: "chat.completion",
		Model:  one.request.Model,
		Choices: []ChatChoice{{
			Message:      ChatMessage{Role: "assistant", Content: strings.Join(p.tokens, " ")},
			FinishReason: p.finishReason,
		}},
		Usage: one.usage(),
	})
}

// streamWriter sends an answer as server-sent events. The id of an event is the run and the offset of the next token.
type streamWriter struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	one     *session
	offset  int // of the next token
	begun   int // offset at which the stream begins
	started bool
}

func (s *streamWriter) run() {
	heartbeat := time.NewTicker(callerHeartbeat)
	defer heartbeat.Stop()
	for {
		p := s.one.progress(s.offset)
		if len(p.tokens) > 0 {
			delta := ChatDelta{ID: s.one.id(), Offset: s.offset, Tokens: p.tokens}
			s.offset += len(p.tokens)
			if s.send("", delta) != nil {
				return
			}
			heartbeat.Reset(callerHeartbeat)
		}
		if p.ended {
			s.finish(p)
			return
		}
		select {
		case <-s.r.Context().Done():
			return
		case <-p.changed:
		case <-heartbeat.C:
			if s.beat() != nil {
				return
			}
		}
	}
}

func (s *streamWriter) finish(p progress) {
	switch {
	case errors.Is(p.err, errHandedOver) && !s.started:
		s.server.seeOther(s.w, s.r, s.one.id(), true)
	case errors.Is(p.err, errHandedOver):
		if address, found := s.server.otherAddress(s.r.RemoteAddr); found {
			_ = s.send("moved", Moved{Address: address, Run: s.one.id(), Offset: s.offset})
		}
	case p.err != nil && !s.started:
		s.server.fail(s.w, s.r, p.err)
	case p.err != nil:
		problem, retryAfter := s.server.problem(p.err)
		problem.RetryAfterSeconds = seconds(retryAfter)
		_ = s.send("error", problem)
	case s.offset > p.total:
		err := outcome.NotRunErrorf(http.StatusBadRequest, 0, "Last-Event-ID: offset %d, allowed: at most %d", s.offset, p.total)
		if !s.started {
			s.server.fail(s.w, s.r, err)
			return
		}
		problem, _ := s.server.problem(err)
		_ = s.send("error", problem)
	default:
		usage := s.one.usage()
		_ = s.send("end", ChatDelta{ID: s.one.id(), Offset: p.total, FinishReason: p.finishReason, Usage: &usage})
	}
}

// begin sends the headers and an event without tokens, so that a caller can resume before the first token.
func (s *streamWriter) begin() error {
	if s.started {
		return nil
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	return writeEvent(s.w, "", s.eventID(s.begun), ChatDelta{ID: s.one.id(), Offset: s.begun})
}

func (s *streamWriter) eventID(offset int) string { return fmt.Sprintf("%s/%d", s.one.id(), offset) }

// beat sends a comment.
func (s *streamWriter) beat() error {
	extendWrite(s.w)
	if err := s.begin(); err != nil {
		return err
	}
	if _, err := io.WriteString(s.w, ": heartbeat\n\n"); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *streamWriter) send(event string, value any) error {
	extendWrite(s.w)
	if err := s.begin(); err != nil {
		return err
	}
	if err := writeEvent(s.w, event, s.eventID(s.offset), value); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
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

// cancelRun cancels a run wherever it is.
func (s *Server) cancelRun(w http.ResponseWriter, r *http.Request, organisation string) {
	run := mux.Vars(r)["run"]
	if one := s.sessions.find(organisation, run); one != nil {
		one.stop(errCancelled)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var place *peerpb.RunPlace
	if s.Registry != nil {
		place = s.Registry.Find(r.Context(), organisation, "", run)
	}
	if place == nil {
		s.fail(w, r, &outcome.Error{Outcome: outcome.Unknown, Status: http.StatusNotFound, Reason: "run: " + run + " is not known, allowed: a run of the organisation that is in progress"})
		return
	}
	for _, name := range []string{place.EntryNode, place.Dispatcher} {
		if n, found := s.Members.Find(name); found {
			s.sendCancel(n.PeerAddress, &peerpb.CancelRequest{Run: run, Organisation: organisation})
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// stop ends the session's attempts for a cause.
func (s *session) stop(cause error) {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	cancel(cause)
}
