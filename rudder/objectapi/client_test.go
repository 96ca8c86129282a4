package objectapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
)

// TestClientRejectsLateResponseOfEarlierEpoch guards against a node that takes what a restored object API has lost for current
// because the response arrives after those of the new epoch, and against a new epoch that is not announced.
func TestClientRejectsLateResponseOfEarlierEpoch(t *testing.T) {
	epoch := int64(0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		version := objectapi.Version{Epoch: epoch, Number: 5}
		if r.URL.Path == "/v1/list" {
			_ = json.NewEncoder(w).Encode(objectapi.Listing{Revision: version})
			return
		}
		_ = json.NewEncoder(w).Encode(objectapi.Object{Key: "a", Version: version})
	}))
	defer server.Close()
	ctx := context.Background()
	var announced []int64
	client := objectapi.NewClient(server.URL, nil)
	client.OnNewEpoch = func(epoch int64) { announced = append(announced, epoch) }
	for _, next := range []int64{0, 2, 2} {
		epoch = next
		if _, err := client.Get(ctx, "a"); err != nil {
			t.Errorf("get in epoch %d: %v", epoch, err)
		}
	}
	epoch = 1
	if _, err := client.Get(ctx, "a"); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("get: error %v, expected one that wraps %v", err, objectapi.ErrUnavailable)
	}
	if _, err := client.List(ctx, ""); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("list: error %v, expected one that wraps %v", err, objectapi.ErrUnavailable)
	}
	if _, err := client.Put(ctx, "a", 1, objectapi.AnyVersion); !errors.Is(err, objectapi.ErrOutcomeUnknown) {
		t.Errorf("put: error %v, expected one that wraps %v", err, objectapi.ErrOutcomeUnknown)
	}
	if len(announced) != 1 || announced[0] != 2 {
		t.Errorf("announced epochs %v, expected 2 once", announced)
	}
}
