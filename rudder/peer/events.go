package peer

import "chestnutrudder.example/rudder/peer/peerpb"

// AcceptedEvent returns a run event that reports that a backend server has started the run.
func AcceptedEvent(m *peerpb.Accepted) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Accepted{Accepted: m}}
}

// TokensEvent returns a run event with tokens of the answer.
func TokensEvent(m *peerpb.Tokens) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Tokens{Tokens: m}}
}

// EndEvent returns the run event that marks the end of the answer.
func EndEvent(m *peerpb.End) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_End{End: m}}
}

// RefusedEvent returns a run event that reports that the request was refused and nothing was run.
func RefusedEvent(m *peerpb.Refused) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Refused{Refused: m}}
}

// BrokenEvent returns a run event that reports that the attempt ended without its end marker.
func BrokenEvent(m *peerpb.Broken) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Broken{Broken: m}}
}

// HeartbeatEvent returns a run event without content, which keeps the stream from becoming idle.
func HeartbeatEvent() *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}
}

// MovedEvent returns a run event that reports that the run continues at another dispatcher.
func MovedEvent(m *peerpb.Moved) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Moved{Moved: m}}
}
