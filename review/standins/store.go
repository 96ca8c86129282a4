package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, one revision counter, conditional writes, lists
// and watches.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{} // closed and replaced at each change
	isDown   bool          // calls get no answer
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	kind      string
	revision  int64
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// pageSize is the number of items in one answer to a list call.
const pageSize = 500

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// setDown makes the store leave all calls unanswered, waiting ones too, or answer again.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.notify()
}

// set writes the spec of an object, as the operator or a runner does.
func (s *store) set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, object{Metadata: metadata{Name: name}, Spec: raw})
}

// remove deletes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteObject(kind, name)
}

// The callers of the following three hold the lock.

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(kind string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o.Metadata.Rev, o.Metadata.Created = s.revision, s.revision
	if previous := s.objects[kind][o.Metadata.Name]; previous != nil {
		o.Metadata.Created = previous.Metadata.Created
		if o.Status == nil {
			o.Status = previous.Status
		}
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][o.Metadata.Name] = &o
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: o})
	s.notify()
	return o
}

func (s *store) deleteObject(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: *o, Tombstone: true})
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// waitWhileDown leaves a call without an answer while the store is down. It returns false if the caller has left.
func (s *store) waitWhileDown(r *http.Request) bool {
	s.mu.Lock()
	isDown := s.isDown
	s.mu.Unlock()
	if isDown {
		<-r.Context().Done()
	}
	return !isDown
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	if !s.waitWhileDown(r) {
		return
	}
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodGet && !hasName && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	expected := in.Metadata.Rev
	if rev := r.URL.Query().Get("rev"); rev != "" {
		expected, _ = strconv.ParseInt(rev, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && !hasName:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		if existing := s.objects[kind][in.Metadata.Name]; existing != nil {
			answer(w, http.StatusConflict, existing)
			return
		}
		answer(w, http.StatusOK, s.put(kind, in))
	case current == nil:
		answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, current)
	case expected != 0 && expected != current.Metadata.Rev:
		answer(w, http.StatusConflict, current)
	case r.Method == http.MethodDelete:
		s.deleteObject(kind, name)
		answer(w, http.StatusOK, current)
	case isStatus:
		next := *current
		next.Status = in.Status
		answer(w, http.StatusOK, s.put(kind, next))
	default:
		in.Metadata.Name = name
		answer(w, http.StatusOK, s.put(kind, in))
	}
}

// list answers with the objects of a kind after a name. The caller holds the lock.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	hasMore := len(names) > pageSize
	items := []*object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "currentRev": s.revision})
}

// watch answers with the changes of a kind after a revision as soon as there is one, or when the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, fmt.Sprint(err, waitErr))
		return
	}
	isOver := time.After(time.Duration(wait) * time.Millisecond)
	for hasWaited := false; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed, isDown := s.revision, s.changed, s.isDown
		s.mu.Unlock()
		if isDown {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || hasWaited {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-isOver:
			hasWaited = true
		case <-r.Context().Done():
			return
		}
	}
}
