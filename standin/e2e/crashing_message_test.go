package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"chestnutrudder.example/rudder/entry"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/process"
)

// converse sends a question after earlier messages through a node and waits for the answer.
func (c *crashTestbed) converse(nodeIndex int, question string, earlier ...string) (caller.Answer, error) {
	request := caller.Request{Model: c.user.Model, Content: question, MaxTokens: crashTestMaxTokens}
	for _, content := range earlier {
		request.Earlier = append(request.Earlier, entry.ChatMessage{Role: "user", Content: content})
	}
	address := c.cluster.Nodes[nodeIndex%len(c.cluster.Nodes)].CallerAddress
	return caller.New(c.user.Tokens[0], address).Do(c.ctx, address, request)
}

// Guards against conversations, no two alike, that crash one runner after the other because they share a message: each was
// counted alone. Conversations with their other messages must be answered meanwhile.
func TestConversationsWithCrashingMessageAreRefused(t *testing.T) {
	c := newCrashTestbed(t)
	if err := process.DoJSON(http.MethodPut, c.cluster.CloudURL+"/control/settings", map[string]int{"restart_ms": 500}, nil); err != nil {
		t.Fatal(err)
	}
	const conversations = 12
	ran := 0
	for i := range conversations {
		if answer, err := c.converse(i, fmt.Sprintf("sound question %d", i), "catalogue"); err != nil || len(answer.Tokens) != crashTestMaxTokens {
			t.Errorf("conversation %d without the message: %d tokens, error %v, want the whole answer", i, len(answer.Tokens), err)
		}
		_, err := c.converse(i, fmt.Sprintf("question %d", i), "catalogue", crashingContent)
		var problem *caller.ProblemError
		if !errors.As(err, &problem) || problem.Status != http.StatusUnprocessableEntity {
			t.Errorf("conversation %d with the message: %v, want status 422", i, err)
		} else if problem.Run != "no" {
			ran++
		}
	}
	// Each that runs crashes one or two runners. Five crashes may come first, and three conversations may follow.
	if ran > 6 {
		t.Errorf("%d of %d conversations with the message ran, want at most 6", ran, conversations)
	}
	c.requests.Wait()
}
