package entry

import (
	"slices"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/route"
)

// stepKind says how a step obtains the answer.
type stepKind int

const (
	stepRun             stepKind = iota // send the request to a dispatcher, which starts or resumes the run
	stepAttach                          // read the run from its dispatcher
	stepAttachEntryNode                 // read the copy of the answer from the run's entry node
)

func (k stepKind) String() string {
	return [...]string{"run", "attach", "attach at entry node"}[k]
}

// step is one request to a node for the rest of an answer.
type step struct {
	kind               stepKind
	node               membership.Node
	resumeHost         string   // host whose engine may still hold the run
	kvHandle           string   // of the KV cache that was exported for the run
	kvSource           string   // address of the host that exported it
	excludeHosts       []string // not used for the attempt
	reason             string
	rejectedCandidates int // number of other candidates
}

// nodeLookup finds the nodes that the steps of a recovery need.
type nodeLookup interface {
	// FindNode returns a node by name.
	FindNode(name string) (membership.Node, bool)
	// NextDispatcher returns the dispatcher of a host among the nodes other than excludedNode.
	NextDispatcher(host, excludedNode string) (membership.Node, bool)
}

// recoverySteps returns the steps after the connection to a dispatcher broke or was idle for too long: first the same
// dispatcher over a new connection, since it buffers the answer; then the dispatcher that now owns the host, since the
// engine may still hold the run.
func recoverySteps(last runLocation, nodes nodeLookup) []step {
	var steps []step
	if n, found := nodes.FindNode(last.node); found && n.State != membership.StateDead {
		steps = append(steps, step{kind: stepAttach, node: n, reason: "the dispatcher buffers the answer"})
	}
	return append(steps, resumeSteps(last, nodes)...)
}

// resumeSteps returns the step that resumes a run at the dispatcher that takes over its host.
func resumeSteps(last runLocation, nodes nodeLookup) []step {
	if last.host == "" {
		return nil
	}
	next, found := nodes.NextDispatcher(last.host, last.node)
	if !found {
		return nil
	}
	return []step{{kind: stepRun, node: next, resumeHost: last.host, reason: "the engine may still hold the run"}}
}

// stepsForPlace returns the first steps of a session for a run that another node accepted.
func stepsForPlace(place *peerpb.RunPlace, self string, nodes nodeLookup) []step {
	var steps []step
	if n, found := nodes.FindNode(place.EntryNode); found && n.State != membership.StateDead && n.Name != self {
		steps = append(steps, step{kind: stepAttachEntryNode, node: n, reason: "the entry node has the answer"})
	}
	return append(steps, recoverySteps(runLocation{node: place.Dispatcher, host: place.Host}, nodes)...)
}

// stepsForMove returns the step that continues a run at the dispatcher to which it was moved.
func stepsForMove(moved *peerpb.Moved, nodes nodeLookup) []step {
	n, found := nodes.FindNode(moved.Node)
	if !found || n.State == membership.StateDead {
		return nil
	}
	return []step{{kind: stepRun, node: n, resumeHost: moved.Host, kvHandle: moved.KvHandle, kvSource: moved.KvSource, reason: "the run was moved"}}
}

// chooseDispatcherStep returns a step that sends the request to a dispatcher that was not tried in this round.
func (s *session) chooseDispatcherStep(triedNodes []string, excludeHosts []string) (step, bool) {
	excluded := map[string]bool{}
	for _, name := range triedNodes {
		excluded[name] = true
	}
	candidates := route.Candidates(s.request.Deployment, route.RendezvousKey(s.request.Prompt), s.server.Fleet.ServingHosts(), s.server.Members.Live())
	if s.isSuspect() {
		return suspectStep(candidates, excluded, excludeHosts)
	}
	choice, found := s.server.Router.Choose(candidates, route.Request{
		Deployment: s.request.Deployment,
		Class:      limit.Class(s.request.Class),
		Preference: s.server.CurrentSnapshot.Index().Deployments[s.request.Deployment].Preference,
		Excluded:   excluded,
	})
	if !found {
		return step{}, false
	}
	return step{kind: stepRun, node: choice.Node, excludeHosts: slices.Clone(excludeHosts), reason: choice.Reason, rejectedCandidates: choice.RejectedCount}, true
}

// suspectStep returns a step that sends a suspect to the first dispatcher by rendezvous hash, regardless of its load and of
// the place of the crash. All copies of the request reach that dispatcher and run one after the other, so that only one more
// runner is at risk.
func suspectStep(candidates []membership.Node, excluded map[string]bool, excludeHosts []string) (step, bool) {
	choice, found := route.Choose(candidates, excluded)
	if !found {
		return step{}, false
	}
	reason := "suspects meet at the first dispatcher by rendezvous hash"
	return step{kind: stepRun, node: choice.Node, excludeHosts: slices.Clone(excludeHosts), reason: reason, rejectedCandidates: choice.RejectedCount}, true
}

// isSuspect reports whether the request is suspected of crashing backend servers.
func (s *session) isSuspect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolate
}

// FindNode implements nodeLookup.
func (s *Server) FindNode(name string) (membership.Node, bool) { return s.Members.Find(name) }

// NextDispatcher implements nodeLookup. It excludes a failed node before membership reports it as dead.
func (s *Server) NextDispatcher(host, excludedNode string) (membership.Node, bool) {
	live := slices.DeleteFunc(s.Members.Live(), func(n membership.Node) bool { return n.Name == excludedNode })
	for _, h := range s.Fleet.ServingHosts() {
		if h.Name == host {
			return membership.DispatcherFor(h.Name, h.FailureDomain, live)
		}
	}
	return membership.Node{}, false
}
