package peer

import "chestnutrudder.example/rudder/peer/peerpb"

// AcceptedEvent wraps a message as a run event; the functions below do the same for the others.
func AcceptedEvent(m *peerpb.Accepted) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Accepted{Accepted: m}}
}

// TokensEvent wraps tokens.
func TokensEvent(m *peerpb.Tokens) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Tokens{Tokens: m}}
}

// EndEvent wraps the end marker.
func EndEvent(m *peerpb.End) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_End{End: m}}
}

// RefusedEvent wraps a refusal.
func RefusedEvent(m *peerpb.Refused) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Refused{Refused: m}}
}

// BrokenEvent wraps the loss of an attempt.
func BrokenEvent(m *peerpb.Broken) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Broken{Broken: m}}
}

// HeartbeatEvent returns a heartbeat.
func HeartbeatEvent() *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}
}

// MovedEvent wraps a move to another dispatcher.
func MovedEvent(m *peerpb.Moved) *peerpb.RunEvent {
	return &peerpb.RunEvent{Event: &peerpb.RunEvent_Moved{Moved: m}}
}
