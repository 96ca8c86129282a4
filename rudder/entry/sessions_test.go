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

// callerRequest is the request of one caller.
type callerRequest struct {
	organisation int
	key          string
	content      string
	maxTokens    int
	node         int
	stream       bool
	startDelay   time.Duration
}

func (r callerRequest) prompt() string { return "user: " + r.content + "\n" }

// scenario is one case of the property test.
type scenario struct {
	requests   []callerRequest
	faults     []string
	killedNode int // 0 or 1, or -1 for none
	killDelay  time.Duration
}

func drawScenario(t *rapid.T) scenario {
	faults := []string{"", "", "", "", "", "", "double", "late", "drop", "stray", "lose", "silence", "break", "move", "refuse"}
	s := scenario{
		faults:     rapid.SliceOfN(rapid.SampledFrom(faults), 0, 60).Draw(t, "faults"),
		killedNode: rapid.IntRange(-1, 1).Draw(t, "killed"),
		killDelay:  time.Duration(rapid.IntRange(0, 400).Draw(t, "kill time")) * time.Millisecond,
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "callers") {
		req := callerRequest{
			organisation: rapid.IntRange(0, 1).Draw(t, "organisation"),
			key:          rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key"),
			maxTokens:    20,
			node:         rapid.IntRange(0, testNodes-1).Draw(t, "node"),
			stream:       rapid.Bool().Draw(t, "stream"),
			startDelay:   time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond,
		}
		req.content = fmt.Sprintf("unkeyed %d", i)
		if req.key != "" {
			req.content = fmt.Sprintf("org %d key %s variant %d", req.organisation, req.key, rapid.IntRange(0, 4).Draw(t, "variant")/4)
		}
		s.requests = append(s.requests, req)
	}
	return s
}

// callerResult is the result of a caller's last request.
type callerResult struct {
	isComplete bool
	tokens     []string
	status     int
	run        string // whether the request was run, from the problem document
	problem    string // detail
}

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=7", "checks=100") }

// TestSessionsUnderFaults guards against answers that are cut off, duplicated, mixed up or of another organisation, against
// reporting a request as not run although it was run, and against accepted requests that do not complete. Messages are
// lost, delayed, duplicated or misdirected, and a node may be killed.
func TestSessionsUnderFaults(t *testing.T) {
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
			violations = s.run(t.Context(), metrics)
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

// run runs a scenario and returns the violations.
func (s scenario) run(ctx context.Context, metrics *telemetry.Metrics) []string {
	ctx, cancel := context.WithCancel(ctx)
	c := newTestCluster(ctx, metrics, slices.Clone(s.faults))
	results := make([]callerResult, len(s.requests))
	var wg sync.WaitGroup
	for i, req := range s.requests {
		wg.Go(func() {
			time.Sleep(req.startDelay)
			results[i] = c.requestUntilSettled(ctx, req)
		})
	}
	if s.killedNode >= 0 {
		wg.Go(func() {
			time.Sleep(s.killDelay)
			c.kill(c.nodes[s.killedNode])
		})
	}
	wg.Wait()
	violations := s.check(c, results)
	cancel()
	// All grace periods and time limits of the sessions end within this time.
	time.Sleep(2 * stallTimeout)
	return violations
}

// check compares the result of each caller with its request and with what the dispatchers ran.
func (s scenario) check(c *testCluster, results []callerResult) []string {
	var violations []string
	for i, req := range s.requests {
		result := results[i]
		addViolation := func(text string) {
			violations = append(violations, fmt.Sprintf("caller %d %+v: %s: %+v", i, req, text, result))
		}
		var expected []string
		for offset := range req.maxTokens {
			expected = append(expected, answerToken(req.prompt(), offset))
		}
		hasConflict := slices.ContainsFunc(s.requests, func(o callerRequest) bool {
			return o.organisation == req.organisation && o.key == req.key && o.content != req.content
		})
		switch {
		case result.isComplete:
			if !slices.Equal(result.tokens, expected) {
				addViolation("answer is incomplete or differs from the expected one")
			}
		case result.run == "no" && result.status == http.StatusServiceUnavailable:
			if req.key == "" && c.runsStarted[req.prompt()] > 0 {
				addViolation("reported as not run, but a dispatcher ran it")
			}
		case result.status == http.StatusUnprocessableEntity && req.key != "" && hasConflict:
		case result.status == 0 && req.key == "" && req.node == s.killedNode:
		default:
			addViolation("neither a complete answer nor an allowed error")
		}
	}
	return violations
}

// requestUntilSettled repeats a request until the caller knows its outcome, at most 12 times. After an error, a caller with
// a key uses the node that is never killed.
func (c *testCluster) requestUntilSettled(ctx context.Context, req callerRequest) callerResult {
	node := c.nodes[req.node]
	var result callerResult
	lastEventID := ""
	for range 12 {
		var err error
		result, err = c.sendRequest(ctx, node, req, &lastEventID, result.tokens)
		switch {
		case err != nil && req.key == "":
			return callerResult{problem: err.Error()}
		case err != nil:
			node = c.nodes[testNodes-1]
		case result.isComplete, result.status == http.StatusUnprocessableEntity, req.key == "":
			return result
		case result.status == http.StatusNotFound:
			lastEventID, result.tokens = "", nil
		}
		time.Sleep(time.Second)
	}
	return result
}

// sendRequest sends a request once. lastEventID is the ID of the last event received and is updated; tokens are those that
// earlier streams delivered.
func (c *testCluster) sendRequest(ctx context.Context, node *testNode, req callerRequest, lastEventID *string, tokens []string) (callerResult, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	body, _ := json.Marshal(ChatRequest{Model: "briefs", Messages: []ChatMessage{{Role: "user", Content: req.content}}, MaxTokens: req.maxTokens, Stream: req.stream})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.name+":2/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return callerResult{}, err
	}
	request.Header.Set("Authorization", fmt.Sprintf("Bearer org%d", req.organisation))
	request.Header.Set("Idempotency-Key", req.key)
	if *lastEventID != "" {
		request.Header.Set("Last-Event-ID", *lastEventID)
	}
	reply, err := (&http.Client{Transport: memoryTransport{cluster: c}}).Do(request)
	if err != nil {
		return callerResult{tokens: tokens}, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		var problem Problem
		err := json.NewDecoder(reply.Body).Decode(&problem)
		return callerResult{status: problem.Status, run: problem.Run, problem: problem.Detail, tokens: tokens}, err
	}
	if req.stream {
		return readEvents(reply, lastEventID, tokens)
	}
	var answer ChatResponse
	if err := json.NewDecoder(reply.Body).Decode(&answer); err != nil {
		return callerResult{}, err
	}
	return callerResult{isComplete: true, tokens: strings.Fields(answer.Choices[0].Message.Content)}, nil
}

func readEvents(reply *http.Response, lastEventID *string, tokens []string) (callerResult, error) {
	scanner := bufio.NewScanner(reply.Body)
	event := ""
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "event":
			event = value
		case "id":
			*lastEventID = value
		case "data":
			if event == "error" {
				var problem Problem
				err := json.Unmarshal([]byte(value), &problem)
				return callerResult{status: problem.Status, run: problem.Run, problem: problem.Detail, tokens: tokens}, err
			}
			var delta ChatDelta
			if err := json.Unmarshal([]byte(value), &delta); err != nil {
				return callerResult{}, err
			}
			if delta.Offset != len(tokens) {
				return callerResult{tokens: tokens, problem: fmt.Sprintf("event has the unexpected offset %d", delta.Offset)}, nil
			}
			tokens = append(tokens, delta.Tokens...)
			if event == "end" {
				return callerResult{isComplete: true, tokens: tokens}, nil
			}
		}
	}
	return callerResult{tokens: tokens}, errors.New("stream ended without a last event")
}

// TestFinishedSessionMemoryIsBounded guards against finished answers that exhaust a node's memory, and against the expiry of
// an answer that removes newer ones.
func TestFinishedSessionMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table sessionTable
		tokens := make([]string, maxFinishedBytes/estimatedTokenBytes/3)
		for i := range 5 {
			sess := newSession(nil, &peerpb.RunRequest{Run: fmt.Sprint(i), Organisation: "a"})
			sess.tokens = tokens
			table.add(sess)
			table.retain(sess)
			time.Sleep(finishedSessionTTL / 4)
		}
		// The memory bound has removed the first two, and the TTL of the first has passed.
		for i, isKept := range []bool{false, false, true, true, true} {
			if got := table.find("a", fmt.Sprint(i)) != nil; got != isKept {
				t.Errorf("answer %d is retained: %t, expected %t", i, got, isKept)
			}
		}
		time.Sleep(2 * finishedSessionTTL)
		table.mu.Lock()
		defer table.mu.Unlock()
		if len(table.byRun) != 0 || table.finishedBytes != 0 {
			t.Errorf("%d answers with %d bytes are retained after their TTL", len(table.byRun), table.finishedBytes)
		}
	})
}
