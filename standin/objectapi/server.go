// Package objectapi is a stand-in for the platform's object API. It implements versions, conditional writes and watches,
// and injects faults on request. cmd/standin runs it; other packages of standin use only its types.
package objectapi

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"chestnutrudder.example/rudder/objectapi"
)

// maxHistoryEvents is the number of events kept for watches. A watch that starts from an older revision gets a reset.
const maxHistoryEvents = 10000

// event is a change with the revision of the store that it created.
type event struct {
	revision int64
	objectapi.Event
}

// Server is an object API that keeps all objects in memory.
type Server struct {
	mu     sync.Mutex
	faults Faults
	state
	epoch   int64         // number of restores; versions are stored without it
	copied  state         // what restore goes back to
	changed chan struct{} // closed and replaced when the objects or the faults change
	calls   callCounts
	limits  limiters
	random  *rand.Rand
}

// NewServer returns a server without objects, faults and rate limits.
func NewServer() *Server {
	return &Server{
		state:   state{objects: map[string]objectapi.Object{}, versions: map[string]int64{}},
		changed: make(chan struct{}),
		calls:   callCounts{ByKind: map[string]int64{}, ByPrefix: map[string]int64{}},
		random:  rand.New(rand.NewPCG(1, 1)),
	}
}

// Handler serves the object API and, under /control, the faults, the rate limits and the call counts.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	api := router.PathPrefix("/v1").Subrouter()
	api.Use(s.applyFaults)
	api.HandleFunc("/objects/{key:.+}", s.handleGet).Methods(http.MethodGet)
	api.HandleFunc("/objects/{key:.+}", s.handlePut).Methods(http.MethodPut)
	api.HandleFunc("/objects/{key:.+}", s.handleDelete).Methods(http.MethodDelete)
	api.HandleFunc("/list", s.handleList).Methods(http.MethodGet)
	api.HandleFunc("/watch", s.handleWatch).Methods(http.MethodGet)
	router.HandleFunc("/control/faults", s.handleSetFaults).Methods(http.MethodPut)
	router.HandleFunc("/control/limits", s.handleSetLimits).Methods(http.MethodPut)
	router.HandleFunc("/control/copy", s.handleCopy).Methods(http.MethodPost)
	router.HandleFunc("/control/restore", s.handleRestore).Methods(http.MethodPost)
	router.HandleFunc("/control/calls", s.handleCallCounts).Methods(http.MethodGet)
	router.HandleFunc("/control/calls-by-prefix", s.handleCallCountsByPrefix).Methods(http.MethodGet)
	return router
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, found := s.objects[mux.Vars(r)["key"]]
	o = s.stamp(o)
	s.mu.Unlock()
	if !found {
		w.Header().Set(objectapi.EpochHeader, strconv.FormatInt(o.Version.Epoch, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var body objectapi.PutBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*objectapi.MaxValueBytes))
	if err := decoder.Decode(&body); err != nil || len(body.Value) > objectapi.MaxValueBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := mux.Vars(r)["key"]
	s.mu.Lock()
	if !s.hasVersion(key, body.Expected) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.versions[key]++
	o := objectapi.Object{Key: key, Version: objectapi.Version{Epoch: s.epoch, Number: s.versions[key]}, Token: body.Token, Value: body.Value}
	s.objects[key] = o
	s.recordEvent(objectapi.Event{Object: o})
	dropResponse := s.consumeResponseDrop()
	s.mu.Unlock()
	if dropResponse {
		dropConnection(w)
		return
	}
	writeJSON(w, o)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	var expected objectapi.Version
	if err := expected.UnmarshalText([]byte(r.URL.Query().Get("expected"))); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	o, found := s.objects[key]
	if !found {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !s.hasVersion(key, expected) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	delete(s.objects, key)
	s.recordEvent(objectapi.Event{Deleted: true, Object: o})
	dropResponse := s.consumeResponseDrop()
	s.mu.Unlock()
	if dropResponse {
		dropConnection(w)
		return
	}
	writeJSON(w, struct{}{})
}

// recordEvent increments the revision, appends the event to the history and wakes the waiting watches. The caller must
// hold s.mu.
func (s *Server) recordEvent(e objectapi.Event) {
	s.revision++
	s.history = append(s.history, event{revision: s.revision, Event: e})
	if len(s.history) > maxHistoryEvents {
		s.history = s.history[len(s.history)-maxHistoryEvents:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	listing := objectapi.Listing{Revision: s.currentRevision(), Objects: []objectapi.Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, s.stamp(o))
		}
	}
	s.mu.Unlock()
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Key < listing.Objects[j].Key })
	writeJSON(w, listing)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var afterRevision objectapi.Version
	err := afterRevision.UnmarshalText([]byte(query.Get("after")))
	waitSeconds, waitErr := strconv.Atoi(query.Get("wait_seconds"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitSeconds) * time.Second)
	for {
		s.mu.Lock()
		changes := s.changesAfter(query.Get("prefix"), afterRevision)
		changed := s.changed
		faults := s.faults
		s.mu.Unlock()
		if faults.Silent {
			<-r.Context().Done()
			return
		}
		if faults.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(changes.Events) > 0 || changes.Reset {
			writeJSON(w, changes)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, changes)
			return
		case <-changed:
		}
	}
}

// changesAfter returns the events after a revision for keys that start with prefix, or a reset if the history does not
// cover the revision. The caller must hold s.mu.
func (s *Server) changesAfter(prefix string, afterRevision objectapi.Version) objectapi.Changes {
	changes := objectapi.Changes{Revision: s.currentRevision(), Events: []objectapi.Event{}}
	after := afterRevision.Number
	if afterRevision.Epoch != s.epoch || len(s.history) > 0 && after < s.history[0].revision-1 || after > s.revision {
		changes.Reset = true
		return changes
	}
	for _, e := range s.history {
		if e.revision > after && strings.HasPrefix(e.Object.Key, prefix) {
			e.Object = s.stamp(e.Object)
			changes.Events = append(changes.Events, e.Event)
		}
	}
	return changes
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
