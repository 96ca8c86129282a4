package object

// Status says what the system has made of an object. The revision loop writes it under StatusKey.
type Status struct {
	ObservedVersion int64  `json:"observedVersion"` // version of the spec in the object API; 0 if it was deleted
	Accepted        bool   `json:"accepted"`
	Reason          string `json:"reason,omitempty"` // why the observed version is not accepted
	// Revision is the first revision in which the version in force stands; 0 if none is in force.
	Revision     int64 `json:"revision"`
	ReadyRunners *int  `json:"readyRunners,omitempty"` // of a Deployment, where known
}
