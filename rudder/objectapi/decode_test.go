package objectapi_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chestnutrudder.example/rudder/objectapi"
)

// One object of another writer that cannot be read made every listing and every watch fail in which it stood. The other
// objects must be decoded.
func TestUnreadableObjectHidesNoOtherObject(t *testing.T) {
	const key = `"key":"a/odd"`
	for name, object := range map[string]string{
		"value nested too deeply": `{` + key + `,"version":1,"value":` + strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000) + `}`,
		"value with a literal":    `{` + key + `,"version":1,"value":{"n":Infinity}}`,
		"value in bytes":          `{` + key + `,"version":1,"value":"` + "\x00\xff\\x" + `"}`,
		"version is too large":    `{` + key + `,"version":1e19,"value":1}`,
		"version is 2^63":         `{` + key + `,"version":9223372036854775808,"value":1}`,
		"version is text":         `{` + key + `,"version":"1","value":1}`,
		"token is a number":       `{` + key + `,"version":1,"token":5,"value":1}`,
		"key is absent":           `{"version":1,"value":1}`,
		"key is a number":         `{"key":5,"version":1,"value":1}`,
		"object is null":          `null`,
		"object is text":          `"x"`,
		"object is no JSON":       `{nope}`,
	} {
		t.Run(name, func(t *testing.T) {
			const first, last = `{"key":"a/first","version":1,"value":1}`, `{"key":"a/last","version":1,"value":2}`
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/v1/watch") {
					fmt.Fprintf(w, `{"revision":9,"events":[{"object":%s},{"object":%s},{"deleted":true,"object":%s}],"reset":false}`, first, object, last)
				} else {
					fmt.Fprintf(w, `{"revision":8,"objects":[%s,%s,%s]}`, first, object, last)
				}
			}))
			t.Cleanup(server.Close)
			client := objectapi.NewClient(server.URL, nil)
			listing, err := client.List(context.Background(), "a/")
			if err != nil || listing.Revision.Number != 8 || len(listing.Objects) != 3 || listing.Objects[0].Key != "a/first" || listing.Objects[2].Key != "a/last" {
				t.Fatalf("listing %+v, error %v, want three objects from a/first to a/last", listing, err)
			}
			var value any
			if listing.Objects[1].Decode(&value) == nil || listing.Objects[2].Decode(&value) != nil {
				t.Errorf("objects %+v, want an Err only for the second one", listing.Objects)
			}
			changes, err := client.Watch(context.Background(), "a/", listing.Revision)
			if err != nil {
				t.Fatalf("watch: %v", err)
			}
			isKeyReadable := strings.Contains(object, key)
			if changes.Reset == isKeyReadable {
				t.Fatalf("changes %+v, want a reset only if the key is not readable", changes)
			}
			if isKeyReadable && (changes.Revision.Number != 9 || len(changes.Events) != 3 || changes.Events[1].Object.Key != "a/odd" || !changes.Events[2].Deleted) {
				t.Errorf("changes %+v, want three events up to revision 9", changes)
			}
		})
	}
}

// A watch after many large changes was cut at the size limit, could not be decoded, and was repeated from the same revision
// without end. The objects must be listed again.
func TestTooManyChangesForOneWatch(t *testing.T) {
	event := `{"object":{"key":"a/b","version":1,"value":"` + strings.Repeat("x", 1<<20) + `"}},`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"revision":9,"events":[%s{"object":{"key":"a/c"}}]}`, strings.Repeat(event, 64))
	}))
	t.Cleanup(server.Close)
	if changes, err := objectapi.NewClient(server.URL, nil).Watch(context.Background(), "a/", objectapi.Version{Number: 8}); err != nil || !changes.Reset {
		t.Errorf("%d changes, reset %t, error %v, want a reset", len(changes.Events), changes.Reset, err)
	}
}
