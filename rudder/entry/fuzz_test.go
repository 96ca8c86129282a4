package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/telemetry"
)

// wish is what one caller asks for.
type wish struct {
	organisation int
	key          string
	content      string
	maxTokens    int
	node         int
	stream       bool
	after        time.Duration
}

func (q wish) prompt() string { return "user: " + q.content + "\n" }

// scenario is one case of the fuzz test.
type scenario struct {
	wishes   []wish
	faults   []string
	killed   int // node 0 or 1, or -1
	killTime time.Duration
}

func drawScenario(t *rapid.T) scenario {
	faults := []string{"", "", "", "", "", "", "double", "late", "drop", "stray", "lose", "silence", "break", "move", "refuse"}
	s := scenario{
		faults:   rapid.SliceOfN(rapid.SampledFrom(faults), 0, 60).Draw(t, "faults"),
		killed:   rapid.IntRange(-1, 1).Draw(t, "killed"),
		killTime: time.Duration(rapid.IntRange(0, 400).Draw(t, "kill time")) * time.Millisecond,
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "callers") {
		q := wish{
			organisation: rapid.IntRange(0, 1).Draw(t, "organisation"),
			key:          rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key"),
			maxTokens:    20,
			node:         rapid.IntRange(0, worldNodes-1).Draw(t, "node"),
			stream:       rapid.Bool().Draw(t, "stream"),
			after:        time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond,
		}
		q.content = fmt.Sprintf("unkeyed %d", i)
		if q.key != "" {
			q.content = fmt.Sprintf("org %d key %s variant %d", q.organisation, q.key, rapid.IntRange(0, 4).Draw(t, "variant")/4)
		}
		s.wishes = append(s.wishes, q)
	}
	return s
}

// told is what a caller was told in the end.
type told struct {
	whole   bool
	tokens  []string
	status  int
	run     string
	problem string
}

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=7", "checks=100") }

// TestSessionsAgainstFaults guards against answers that are cut, doubled, mixed up or of another organisation, against
// "not run" for a request that was run, and against accepted requests that do not complete, whatever happens to messages
// and nodes.
func TestSessionsAgainstFaults(t *testing.T) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	defer uuid.SetRand(nil)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			uuid.SetRand(&lockedRand{source: rand.New(rand.NewSource(1))})
			violations = s.play(t.Context(), metrics)
		})
		if len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
}

type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

// Read implements io.Reader.
func (r *lockedRand) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Read(p)
}

// play runs a scenario and returns what went wrong.
func (s scenario) play(ctx context.Context, metrics *telemetry.Metrics) []string {
	ctx, cancel := context.WithCancel(ctx)
	w := newWorld(ctx, metrics, slices.Clone(s.faults))
	results := make([]told, len(s.wishes))
	var all sync.WaitGroup
	for i, q := range s.wishes {
		all.Go(func() {
			time.Sleep(q.after)
			results[i] = w.satisfy(ctx, q)
		})
	}
	if s.killed >= 0 {
		all.Go(func() {
			time.Sleep(s.killTime)
			w.kill(w.nodes[s.killed])
		})
	}
	all.Wait()
	violations := s.judge(w, results)
	cancel()
	// All grace times and time bounds of the sessions end within this time.
	time.Sleep(2 * stallTimeout)
	return violations
}

// judge compares what each caller was told with what it asked and with what the dispatchers ran.
func (s scenario) judge(w *world, results []told) []string {
	var violations []string
	for i, q := range s.wishes {
		r := results[i]
		wrong := func(text string) {
			violations = append(violations, fmt.Sprintf("caller %d %+v: %s: %+v", i, q, text, r))
		}
		var expected []string
		for offset := range q.maxTokens {
			expected = append(expected, worldToken(q.prompt(), offset))
		}
		conflict := slices.ContainsFunc(s.wishes, func(o wish) bool {
			return o.organisation == q.organisation && o.key == q.key && o.content != q.content
		})
		switch {
		case r.whole:
			if !slices.Equal(r.tokens, expected) {
				wrong("answer is not its own or not whole")
			}
		case r.run == "no" && r.status == http.StatusServiceUnavailable:
			if q.key == "" && w.started[q.prompt()] > 0 {
				wrong("told not run, but a dispatcher ran it")
			}
		case r.status == http.StatusUnprocessableEntity && q.key != "" && conflict:
		case r.status == 0 && q.key == "" && q.node == s.killed:
		default:
			wrong("neither whole nor an honest outcome")
		}
	}
	return violations
}

// satisfy asks until the caller knows how its request ended. A caller with a key goes to the node that never dies.
func (w *world) satisfy(ctx context.Context, q wish) told {
	node := w.nodes[q.node]
	var last told
	resume := ""
	for range 12 {
		var err error
		last, err = w.askOnce(ctx, node, q, &resume, last.tokens)
		switch {
		case err != nil && q.key == "":
			return told{problem: err.Error()}
		case err != nil:
			node = w.nodes[worldNodes-1]
		case last.whole, last.status == http.StatusUnprocessableEntity, q.key == "":
			return last
		case last.status == http.StatusNotFound:
			resume, last.tokens = "", nil
		}
		time.Sleep(time.Second)
	}
	return last
}

// askOnce sends a request once. resume is the id of the last event of an earlier stream.
func (w *world) askOnce(ctx context.Context, node *worldNode, q wish, resume *string, before []string) (told, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	body, _ := json.Marshal(ChatRequest{Model: "briefs", Messages: []ChatMessage{{Role: "user", Content: q.content}}, MaxTokens: q.maxTokens, Stream: q.stream})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.name+":2/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return told{}, err
	}
	request.Header.Set("Authorization", fmt.Sprintf("Bearer org%d", q.organisation))
	request.Header.Set("Idempotency-Key", q.key)
	if *resume != "" {
		request.Header.Set("Last-Event-ID", *resume)
	}
	reply, err := (&http.Client{Transport: link{world: w}}).Do(request)
	if err != nil {
		return told{tokens: before}, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		var problem Problem
		err := json.NewDecoder(reply.Body).Decode(&problem)
		return told{status: problem.Status, run: problem.Run, problem: problem.Detail, tokens: before}, err
	}
	if q.stream {
		return readEvents(reply, resume, before)
	}
	var answer ChatAnswer
	if err := json.NewDecoder(reply.Body).Decode(&answer); err != nil {
		return told{}, err
	}
	return told{whole: true, tokens: strings.Fields(answer.Choices[0].Message.Content)}, nil
}

func readEvents(reply *http.Response, resume *string, tokens []string) (told, error) {
	scanner := bufio.NewScanner(reply.Body)
	event := ""
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "event":
			event = value
		case "id":
			*resume = value
		case "data":
			if event == "error" {
				var problem Problem
				err := json.Unmarshal([]byte(value), &problem)
				return told{status: problem.Status, run: problem.Run, problem: problem.Detail, tokens: tokens}, err
			}
			var delta ChatDelta
			if err := json.Unmarshal([]byte(value), &delta); err != nil {
				return told{}, err
			}
			if delta.Offset != len(tokens) {
				return told{tokens: tokens, problem: fmt.Sprintf("event at offset %d", delta.Offset)}, nil
			}
			tokens = append(tokens, delta.Tokens...)
			if event == "end" {
				return told{whole: true, tokens: tokens}, nil
			}
		}
	}
	return told{tokens: tokens}, errors.New("the stream is cut off")
}

// TestFinishedSessionsAreBounded guards against finished answers that use up a node's memory, and against the expiry of one
// answer that drops younger ones.
func TestFinishedSessionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table sessionTable
		tokens := make([]string, maxKeptBytes/tokenBytes/3)
		for i := range 5 {
			one := newSession(nil, &peerpb.RunRequest{Run: fmt.Sprint(i), Organisation: "a"})
			one.tokens = tokens
			table.add(one)
			table.keep(one)
			time.Sleep(keepFinished / 4)
		}
		// The first two were dropped for their memory; the expiry of the first has passed.
		for i, kept := range []bool{false, false, true, true, true} {
			if got := table.find("a", fmt.Sprint(i)) != nil; got != kept {
				t.Errorf("answer %d kept: %t, expected %t", i, got, kept)
			}
		}
		time.Sleep(2 * keepFinished)
		table.mu.Lock()
		defer table.mu.Unlock()
		if len(table.runs) != 0 || table.bytes != 0 {
			t.Errorf("%d answers with %d bytes are kept after their time", len(table.runs), table.bytes)
		}
	})
}
