package process

import (
	"encoding/json"
	"net/http"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/revision"
)

// waitApplied waits until every object that was applied is in force on every node: an acceptor may accept the first objects
// of a file before the last one is written. A plan with objects that are not accepted must apply them after the start.
func (c *Cluster) waitApplied() error {
	if len(c.plan.ObjectFiles) == 0 {
		return nil
	}
	var number int64
	err := WaitFor("all objects accepted", func() bool {
		var specs objectapi.Listing
		var current, accepted objectapi.Object
		var pointer revision.Pointer
		var snapshot revision.Snapshot
		if Control(http.MethodGet, c.ObjectAPI+"/v1/list?prefix=spec/", nil, &specs) != nil ||
			Control(http.MethodGet, c.ObjectAPI+"/v1/objects/"+revision.CurrentKey, nil, &current) != nil ||
			json.Unmarshal(current.Value, &pointer) != nil ||
			Control(http.MethodGet, c.ObjectAPI+"/v1/objects/"+pointer.Key, nil, &accepted) != nil ||
			json.Unmarshal(accepted.Value, &snapshot) != nil {
			return false
		}
		number = pointer.Number
		return len(snapshot.Objects) == len(specs.Objects)
	})
	if err != nil {
		return err
	}
	for _, n := range c.Nodes {
		err := WaitFor("all objects in force on "+n.Name, func() bool {
			var answer struct {
				Revision int64 `json:"revision"`
			}
			return Control(http.MethodGet, "http://"+n.Admin+"/revision", nil, &answer) == nil && answer.Revision >= number
		})
		if err != nil {
			return err
		}
	}
	return nil
}
