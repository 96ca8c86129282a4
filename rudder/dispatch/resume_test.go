package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// chunkLines encodes chunks as an engine sends them.
func chunkLines(t *testing.T, chunks ...engine.Chunk) string {
	t.Helper()
	var b strings.Builder
	for _, c := range chunks {
		line, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s\n", line)
	}
	return b.String()
}

// Pattern: a stream had begun and broke off, and the engine answered the request to resume it with something else. Nothing
// of that may get into the answer, and the run must not end as complete.
func TestResumedRunIsNotMixedWithErrors(t *testing.T) {
	const attempt, problem = "r.1", `{"error":"boom"}`
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	end := engine.Chunk{AttemptID: attempt, Offset: 2, Tokens: []string{"c"}, End: true}
	for name, c := range map[string]struct {
		resume  http.HandlerFunc
		isWhole bool
	}{
		"continuation":            {respond(200, chunkLines(t, end)), true},
		"anew":                    {respond(200, chunkLines(t, engine.Chunk{AttemptID: attempt, Tokens: []string{"a", "b", "c"}}, engine.Chunk{AttemptID: attempt, Offset: 3, End: true})), true},
		"anew, but shorter":       {respond(200, chunkLines(t, engine.Chunk{AttemptID: attempt, Tokens: []string{"a"}, End: true})), false},
		"500":                     {respond(500, problem), false},
		"503":                     {respond(503, problem), false},
		"404":                     {respond(404, problem), false},
		"302":                     {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/v1/load", http.StatusFound) }, false},
		"204":                     {respond(204, ""), false},
		"200 with an error":       {respond(200, problem), false},
		"200 with text":           {respond(200, "Internal Server Error"), false},
		"200 with a head":         {respond(200, "HTTP/1.1 500 X\r\n\r\n"+problem), false},
		"200 without chunks":      {respond(200, ""), false},
		"200 with null":           {respond(200, "null\n[]\n"), false},
		"other attempt":           {respond(200, chunkLines(t, engine.Chunk{AttemptID: "r.0", Offset: 2, Tokens: []string{"x"}, End: true})), false},
		"tokens skipped":          {respond(200, chunkLines(t, engine.Chunk{AttemptID: attempt, Offset: 3, Tokens: []string{"d"}, End: true})), false},
		"offset is negative":      {respond(200, chunkLines(t, engine.Chunk{AttemptID: attempt, Offset: -9, Tokens: []string{"d"}, End: true})), false},
		"offset is too large":     {respond(200, `{"attempt":"r.1","offset":1e19,"tokens":["x"],"end":true}`), false},
		"part of a chunk":         {respond(200, strings.TrimSuffix(chunkLines(t, end), "}\n")), false},
		"end with tokens missing": {respond(200, chunkLines(t, engine.Chunk{AttemptID: attempt, Offset: 3, End: true})), false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var request engine.RunRequest
				switch {
				case r.URL.Path != "/v1/runs":
					fmt.Fprint(w, `{}`) // load reports and cancels
				case json.NewDecoder(r.Body).Decode(&request) != nil:
					w.WriteHeader(http.StatusBadRequest)
				case request.Resume:
					c.resume(w, r)
				default:
					fmt.Fprint(w, chunkLines(t, engine.Chunk{AttemptID: attempt, Started: true, Tokens: []string{"a"}}, engine.Chunk{AttemptID: attempt, Offset: 1, Tokens: []string{"b"}}))
					w.(http.Flusher).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			t.Cleanup(server.Close)
			d := New(membership.NewTable(membership.Node{Name: "n"}), fleet.NewTable(), slog.New(slog.DiscardHandler))
			task := newTask(newRun("r", "o", attempt, 0), &peerpb.RunRequest{Run: "r"}, 1, testNow)
			task.backend = newBackend(cloud.Host{Name: "h", Backend: object.BackendModel, Address: server.URL})
			lastEvent := d.readRun(context.Background(), task)
			want := "a b"
			if c.isWhole {
				want = "a b c"
			}
			if got := strings.Join(task.run.answerTokens(nil), " "); got != want || (lastEvent.GetEnd() != nil) != c.isWhole || (lastEvent.GetBroken() != nil) == c.isWhole {
				t.Errorf("answer %q, last event %v, want %q and an end only if it is whole", got, lastEvent, want)
			}
		})
	}
}
