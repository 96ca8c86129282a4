package object

import "chestnutrudder.example/rudder/objectapi"

// Status is the result of processing an object. The revision loop writes it under StatusKey.
type Status struct {
	ObservedVersion objectapi.Version `json:"observedVersion"` // version of the spec in the object API; 0 if it was deleted
	Accepted        bool              `json:"accepted"`
	Reason          string            `json:"reason,omitempty"` // why the observed version was not accepted
	// Revision is the first revision that contains the version of the object in force; 0 if no version is in force.
	Revision     int64 `json:"revision"`
	ReadyRunners *int  `json:"readyRunners,omitempty"` // only of a Deployment; nil if unknown
}
