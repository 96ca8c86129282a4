package revision

import (
	"encoding/json"
	"fmt"
	"reflect"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

// maxSnapshotBytes bounds the encoded objects of a snapshot. It leaves 1024 bytes of the largest value of the object
// API for the fields around them.
const maxSnapshotBytes = objectapi.MaxValueBytes - 1024

// resolveWithinSize is resolve with a limit on the encoded size of the accepted objects. While the result is too large,
// it rejects the change that adds the most bytes. Without any change the result is as large as the objects in force.
func resolveWithinSize(maxBytes int, previous object.Set, specs map[string]desiredObject) (object.Set, map[string]string) {
	for {
		next, reasons := resolve(previous, specs)
		total := 0
		largest, growth := "", 0
		for id, o := range next {
			size := encodedSize(o)
			total += size
			before, found := previous[id]
			if found && reflect.DeepEqual(before, o) {
				continue
			}
			if found {
				size -= encodedSize(before)
			}
			if size > growth || size == growth && id > largest {
				largest, growth = id, size
			}
		}
		if total <= maxBytes || growth <= 0 {
			return next, reasons
		}
		specs = withProblem(specs, largest, object.Problem{
			Object: largest, Field: "object", Value: fmt.Sprintf("%d bytes more, a snapshot of %d bytes", growth, total),
			Allowed: fmt.Sprintf("a snapshot of at most %d bytes", maxBytes),
		})
	}
}

// withProblem returns a copy of the specs with a problem added to one of them.
func withProblem(specs map[string]desiredObject, id string, problem object.Problem) map[string]desiredObject {
	changed := make(map[string]desiredObject, len(specs))
	for otherID, desired := range specs {
		changed[otherID] = desired
	}
	desired := changed[id]
	desired.problems = append(desired.problems[:len(desired.problems):len(desired.problems)], problem)
	changed[id] = desired
	return changed
}

// encodedSize returns the number of bytes of an object in an encoded snapshot, including the comma after it.
func encodedSize(o object.Object) int {
	raw, err := json.Marshal(o)
	if err != nil {
		return 0
	}
	return len(raw) + 1
}
