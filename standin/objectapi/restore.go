package objectapi

import (
	"maps"
	"net/http"
	"slices"

	"chestnutrudder.example/rudder/objectapi"
)

// state is what a copy of the object API holds.
type state struct {
	revision int64
	objects  map[string]objectapi.Object
	versions map[string]int64 // last version of each key, including deleted ones, so that no version is reused
	history  []event
}

func (s state) clone() state {
	return state{revision: s.revision, objects: maps.Clone(s.objects), versions: maps.Clone(s.versions), history: slices.Clone(s.history)}
}

// handleCopy makes the copy to which handleRestore goes back.
func (s *Server) handleCopy(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.state.clone()
}

// handleRestore replaces the contents by the copy and begins a new epoch: what was written since is lost, and its versions and
// revisions are given out again. Without a copy it answers 409.
func (s *Server) handleRestore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copied.objects == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.state = s.copied.clone()
	s.epoch++
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentRevision returns the revision with its epoch. The caller must hold s.mu.
func (s *Server) currentRevision() objectapi.Version {
	return objectapi.Version{Epoch: s.epoch, Number: s.revision}
}

// stamp returns the object with the current epoch in its version. The caller must hold s.mu.
func (s *Server) stamp(o objectapi.Object) objectapi.Object {
	o.Version.Epoch = s.epoch
	return o
}

// hasVersion reports whether an object has the expected version. The caller must hold s.mu.
func (s *Server) hasVersion(key string, expected objectapi.Version) bool {
	o, found := s.objects[key]
	switch expected {
	case objectapi.AnyVersion:
		return true
	case objectapi.AbsentVersion:
		return !found
	}
	return found && s.stamp(o).Version == expected
}
