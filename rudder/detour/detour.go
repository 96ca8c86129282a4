// Package detour passes requests on to peers. A node that has no path to the servers of a service sends a request, once, to a peer that
// has one. The peer handles it like a request of a caller of its own and never passes it on again.
package detour

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Headers between two nodes. They are not forwarded.
const (
	headerID    = "Rudder-Detour-Id"    // in requests and responses: of one passing, so that a late response is not taken for another one
	headerState = "Rudder-Detour-State" // in requests: State as JSON
	headerError = "Rudder-Detour-Error" // in responses that the peer itself made: an ErrorKind
)

// headerPrefix is that of the headers between nodes.
const headerPrefix = "Rudder-Detour-"

// RemoveHeaders removes the headers between nodes from a head that a caller or a server has sent.
func RemoveHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// ExtraHeaderBytes is how much longer the head of a request is that is passed on, at most.
const ExtraHeaderBytes = 1 << 10

// State is what a peer must know of a request that is passed on to it.
type State struct {
	Node      string `json:"node"`   // that passes it on
	AgeMillis int64  `json:"age_ms"` // time since that node got the request
	// PossibleRuns is the number of servers that may have run the request. The retry was taken from the budget of that node.
	PossibleRuns int `json:"runs,omitempty"`
	// IsCounted, HasQuota and IsRunCounted tell that the request was counted as one for its service, in the quota of its organisation,
	// and as a run of it.
	IsCounted    bool `json:"counted,omitempty"`
	HasQuota     bool `json:"quota,omitempty"`
	IsRunCounted bool `json:"run_counted,omitempty"`
}

// Age returns the time since the first node got the request.
func (s *State) Age() time.Duration { return time.Duration(max(s.AgeMillis, 0)) * time.Millisecond }

// ErrorKind tells what an error response of a peer means to the node that passed the request on.
type ErrorKind string

// The kinds of errors of peers.
const (
	// NotHere means that the peer has not run the request and cannot, and that other peers may.
	NotHere ErrorKind = "not_here"
	// NotRun means that the request has not run, for a reason that holds at all nodes.
	NotRun ErrorKind = "not_run"
	// Unknown means that the request may have run.
	Unknown ErrorKind = "unknown"
)

// MarkError marks a response that the peer itself made.
func MarkError(h http.Header, kind ErrorKind) { h.Set(headerError, string(kind)) }

type stateKey struct{}

// StateOf returns the state of a request that a peer passed on; nil if a caller sent it.
func StateOf(ctx context.Context) *State {
	state, _ := ctx.Value(stateKey{}).(*State)
	return state
}

// Handler returns the handler of the port at which peers pass requests on. next finds their state in the context.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, state, err := readHead(r.Header)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set(headerID, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), stateKey{}, state)))
	})
}

// readHead removes the headers of this package and returns what they tell.
func readHead(h http.Header) (id string, state *State, err error) {
	id, encoded := h.Get(headerID), h.Get(headerState)
	h.Del(headerID)
	h.Del(headerState)
	if id == "" {
		return "", nil, errors.Errorf("request header %s: value \"\", allowed: an id", headerID)
	}
	state = &State{}
	if err := json.Unmarshal([]byte(encoded), state); err != nil {
		return "", nil, errors.Wrapf(err, "request header %s", headerState)
	}
	return id, state, nil
}

// writeHead adds the headers of this package to a request.
func writeHead(h http.Header, id string, state State) error {
	encoded, err := json.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "encode state of a request")
	}
	h.Set(headerID, id)
	h.Set(headerState, string(encoded))
	return nil
}
