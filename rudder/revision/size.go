package revision

import (
	"encoding/json"
	"fmt"
	"reflect"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

// maxSnapshotBytes leaves room for the fields around the objects within the largest value of the object API.
const maxSnapshotBytes = objectapi.MaxValueBytes - 1024

// resolveWithin is resolve with a bound on the size of the snapshot. While the result is too large, the change that adds
// most is refused; without any change it is as large as what is in force.
func resolveWithin(limit int, inForce object.Set, specs map[string]written) (object.Set, map[string]string) {
	for {
		next, reasons := resolve(inForce, specs)
		total := 0
		largest, growth := "", 0
		for id, o := range next {
			size := encodedBytes(o)
			total += size
			previous, found := inForce[id]
			if found && reflect.DeepEqual(previous, o) {
				continue
			}
			if found {
				size -= encodedBytes(previous)
			}
			if size > growth || size == growth && id > largest {
				largest, growth = id, size
			}
		}
		if total <= limit || growth <= 0 {
			return next, reasons
		}
		specs = refuse(specs, largest, object.Problem{
			Object: largest, Field: "object", Value: fmt.Sprintf("%d bytes more, a snapshot of %d bytes", growth, total),
			Allowed: fmt.Sprintf("a snapshot of at most %d bytes", limit),
		})
	}
}

// refuse returns the specs with a problem added to one of them.
func refuse(specs map[string]written, id string, problem object.Problem) map[string]written {
	changed := make(map[string]written, len(specs))
	for other, w := range specs {
		changed[other] = w
	}
	w := changed[id]
	w.problems = append(w.problems[:len(w.problems):len(w.problems)], problem)
	changed[id] = w
	return changed
}

// encodedBytes is the size of an object in a snapshot, with the comma after it.
func encodedBytes(o object.Object) int {
	raw, err := json.Marshal(o)
	if err != nil {
		return 0
	}
	return len(raw) + 1
}
