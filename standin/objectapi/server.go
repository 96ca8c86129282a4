// Package objectapi is a stand-in for the platform's object API: versions, conditional updates, watches, and faults that
// a test can switch on. Only cmd/standin and tests use it.
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

const historyLength = 10000

type event struct {
	revision int64
	objectapi.Event
}

// Server holds all objects in memory.
type Server struct {
	mu       sync.Mutex
	faults   Faults
	revision int64
	objects  map[string]objectapi.Object
	versions map[string]int64 // also of deleted keys, so that versions never repeat
	history  []event
	changed  chan struct{}
	calls    counts
	limits   limiters
	random   *rand.Rand
}

// NewServer returns an empty server.
func NewServer() *Server {
	return &Server{
		objects:  map[string]objectapi.Object{},
		versions: map[string]int64{},
		changed:  make(chan struct{}),
		calls:    counts{ByKind: map[string]int64{}, ByPrefix: map[string]int64{}},
		random:   rand.New(rand.NewPCG(1, 1)),
	}
}

// Handler returns the API and, under /control, the faults and the call counts.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	api := router.PathPrefix("/v1").Subrouter()
	api.Use(s.applyFaults)
	api.HandleFunc("/objects/{key:.+}", s.get).Methods(http.MethodGet)
	api.HandleFunc("/objects/{key:.+}", s.put).Methods(http.MethodPut)
	api.HandleFunc("/objects/{key:.+}", s.delete).Methods(http.MethodDelete)
	api.HandleFunc("/list", s.list).Methods(http.MethodGet)
	api.HandleFunc("/watch", s.watch).Methods(http.MethodGet)
	router.HandleFunc("/control/faults", s.setFaults).Methods(http.MethodPut)
	router.HandleFunc("/control/limits", s.setLimits).Methods(http.MethodPut)
	router.HandleFunc("/control/calls", s.callCounts).Methods(http.MethodGet)
	router.HandleFunc("/control/calls-by-prefix", s.callsByPrefix).Methods(http.MethodGet)
	return router
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, found := s.objects[mux.Vars(r)["key"]]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var body objectapi.PutBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*objectapi.MaxValueBytes))
	if err := decoder.Decode(&body); err != nil || len(body.Value) > objectapi.MaxValueBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := mux.Vars(r)["key"]
	s.mu.Lock()
	present := s.objects[key].Version
	if body.Expected != objectapi.AnyVersion && body.Expected != present {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.versions[key]++
	o := objectapi.Object{Key: key, Version: s.versions[key], Token: body.Token, Value: body.Value}
	s.objects[key] = o
	s.record(objectapi.Event{Object: o})
	lose := s.loseAnswer()
	s.mu.Unlock()
	if lose {
		dropConnection(w)
		return
	}
	answer(w, o)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	expected, err := strconv.ParseInt(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
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
	if expected != objectapi.AnyVersion && expected != o.Version {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	delete(s.objects, key)
	s.record(objectapi.Event{Deleted: true, Object: o})
	lose := s.loseAnswer()
	s.mu.Unlock()
	if lose {
		dropConnection(w)
		return
	}
	answer(w, struct{}{})
}

// record appends an event and wakes the watches. The caller holds the lock.
func (s *Server) record(e objectapi.Event) {
	s.revision++
	s.history = append(s.history, event{revision: s.revision, Event: e})
	if len(s.history) > historyLength {
		s.history = s.history[len(s.history)-historyLength:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	listing := objectapi.Listing{Revision: s.revision, Objects: []objectapi.Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, o)
		}
	}
	s.mu.Unlock()
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Key < listing.Objects[j].Key })
	answer(w, listing)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	seconds, err2 := strconv.Atoi(query.Get("wait_seconds"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(seconds) * time.Second)
	for {
		s.mu.Lock()
		changes := s.changesAfter(query.Get("prefix"), after)
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
			answer(w, changes)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			answer(w, changes)
			return
		case <-changed:
		}
	}
}

// changesAfter collects events. The caller holds the lock.
func (s *Server) changesAfter(prefix string, after int64) objectapi.Changes {
	changes := objectapi.Changes{Revision: s.revision, Events: []objectapi.Event{}}
	if len(s.history) > 0 && after < s.history[0].revision-1 || after > s.revision {
		changes.Reset = true
		return changes
	}
	for _, e := range s.history {
		if e.revision > after && strings.HasPrefix(e.Object.Key, prefix) {
			changes.Events = append(changes.Events, e.Event)
		}
	}
	return changes
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
