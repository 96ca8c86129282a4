package entry

import (
	"slices"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/route"
)

// stepKind says how an answer is read on.
type stepKind int

const (
	stepRun         stepKind = iota // send the request to a dispatcher
	stepAttach                      // read the run that a dispatcher holds
	stepAttachEntry                 // read the copy of the entry node that the run belongs to
)

func (k stepKind) String() string {
	return [...]string{"run", "attach", "attach at entry node"}[k]
}

// step is one try to read an answer on.
type step struct {
	kind       stepKind
	node       membership.Node
	resumeHost string // host whose engine may still hold the run
	kvHandle   string
	kvSource   string
	exclude    []string // hosts
	reason     string
	rejected   int // number of other candidates
}

// nodeView is what recovery decisions need to know about other nodes.
type nodeView interface {
	// Find returns a node by name.
	Find(name string) (membership.Node, bool)
	// NextOwner returns the dispatcher of a host among the nodes other than the given one.
	NextOwner(host, without string) (membership.Node, bool)
}

// recovery returns the steps after the connection to a dispatcher broke or went silent: the same dispatcher by a new
// connection, since it buffers the answer; then the dispatcher that owns the host now, since the engine may hold the run.
func recovery(last position, nodes nodeView) []step {
	var steps []step
	if n, found := nodes.Find(last.node); found && n.State != membership.StateDead {
		steps = append(steps, step{kind: stepAttach, node: n, reason: "the dispatcher buffers the answer"})
	}
	return append(steps, resumption(last, nodes)...)
}

// resumption returns the step to the dispatcher that takes over the host of a run.
func resumption(last position, nodes nodeView) []step {
	if last.host == "" {
		return nil
	}
	next, found := nodes.NextOwner(last.host, last.node)
	if !found {
		return nil
	}
	return []step{{kind: stepRun, node: next, resumeHost: last.host, reason: "the engine may still hold the run"}}
}

// firstSteps returns the steps of a session that takes up a run of another node.
func firstSteps(place *peerpb.RunPlace, self string, nodes nodeView) []step {
	var steps []step
	if n, found := nodes.Find(place.EntryNode); found && n.State != membership.StateDead && n.Name != self {
		steps = append(steps, step{kind: stepAttachEntry, node: n, reason: "the entry node has the answer"})
	}
	return append(steps, recovery(position{node: place.Dispatcher, host: place.Host}, nodes)...)
}

// movedStep follows a run to the dispatcher that it was moved to.
func movedStep(m *peerpb.Moved, nodes nodeView) []step {
	n, found := nodes.Find(m.Node)
	if !found || n.State == membership.StateDead {
		return nil
	}
	return []step{{kind: stepRun, node: n, resumeHost: m.Host, kvHandle: m.KvHandle, kvSource: m.KvSource, reason: "the run was moved"}}
}

// anyStep chooses a dispatcher that has not been tried in this round.
func (s *session) anyStep(tried []string, excludeHosts []string) (step, bool) {
	excluded := map[string]bool{}
	for _, name := range tried {
		excluded[name] = true
	}
	candidates := route.Candidates(s.request.Deployment, route.RendezvousKey(s.request.Prompt), s.server.Fleet.ServingHosts(), s.server.Members.Live())
	if s.isSuspect() {
		return suspectStep(candidates, excluded, excludeHosts)
	}
	choice, found := s.server.Router.Choose(candidates, route.Request{
		Deployment: s.request.Deployment,
		Class:      limit.Class(s.request.Class),
		Preference: s.server.Current.Index().Deployments[s.request.Deployment].Preference,
		Excluded:   excluded,
	})
	if !found {
		return step{}, false
	}
	return step{kind: stepRun, node: choice.Node, exclude: slices.Clone(excludeHosts), reason: choice.Reason, rejected: choice.RejectedCount}, true
}

// suspectStep sends a suspect to the first dispatcher of the order, whatever its load and wherever the crash was. All
// copies of it meet there and wait for each other, so that only one more runner is at risk.
func suspectStep(candidates []membership.Node, excluded map[string]bool, excludeHosts []string) (step, bool) {
	choice, found := route.Choose(candidates, excluded)
	if !found {
		return step{}, false
	}
	reason := "suspects meet at the first dispatcher by rendezvous hash"
	return step{kind: stepRun, node: choice.Node, exclude: slices.Clone(excludeHosts), reason: reason, rejected: choice.RejectedCount}, true
}

func (s *session) isSuspect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolate
}

// Find implements nodeView.
func (s *Server) Find(name string) (membership.Node, bool) { return s.Members.Find(name) }

// NextOwner implements nodeView. It does not wait until the failed node is known to be dead.
func (s *Server) NextOwner(host, without string) (membership.Node, bool) {
	live := slices.DeleteFunc(s.Members.Live(), func(n membership.Node) bool { return n.Name == without })
	for _, h := range s.Fleet.ServingHosts() {
		if h.Name == host {
			return membership.DispatcherFor(h.Name, h.FailureDomain, live)
		}
	}
	return membership.Node{}, false
}
