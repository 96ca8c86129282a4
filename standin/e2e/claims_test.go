package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/objectapi"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/service"
	"chestnutrudder.example/standin/users"
)

// depositOracle records what callers were told about each deposit, and checks it against the effects on the service.
type depositOracle struct {
	mu                sync.Mutex
	hasAnswer         map[string]bool // by deposit; at least one caller got the answer
	hasUnknownOutcome map[string]bool // by deposit; at least one caller was told that the outcome is unknown, or got no answer
}

// recordOutcome records the outcome that a caller got for a deposit and reports whether the caller should retry.
func (o *depositOracle) recordOutcome(deposit string, err error) (retry bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var problemErr *caller.ProblemError
	switch {
	case err == nil:
		o.hasAnswer[deposit] = true
		return false
	case errors.As(err, &problemErr) && problemErr.Run == "no":
		return true
	default:
		o.hasUnknownOutcome[deposit] = true
		return true
	}
}

// checkEffects checks that no deposit took effect more than once, that those with an answer took effect, and that those
// that all callers were told were not run did not.
func (o *depositOracle) checkEffects(t *testing.T, effects []service.Effect, deposits int) {
	t.Helper()
	countByDeposit := map[string]int{}
	for _, e := range effects {
		if strings.HasPrefix(e.Path, "/deposits") {
			countByDeposit[strings.Trim(e.Body, "\"")]++
		}
	}
	for i := range deposits {
		deposit := depositName(i)
		switch effectCount := countByDeposit[deposit]; {
		case effectCount > 1:
			t.Errorf("%s took effect %d times, expected at most once", deposit, effectCount)
		case effectCount == 1 && !o.hasAnswer[deposit] && !o.hasUnknownOutcome[deposit]:
			t.Errorf("%s took effect although all callers were told that it was not run", deposit)
		case effectCount == 0 && o.hasAnswer[deposit]:
			t.Errorf("%s was answered but did not take effect", deposit)
		}
	}
	t.Logf("%d deposits: %d answered, %d with an unknown outcome for at least one try, %d effects",
		deposits, len(o.hasAnswer), len(o.hasUnknownOutcome), len(effects))
}

func depositName(i int) string { return fmt.Sprintf("deposit-%d", i) }

// TestDepositsTakeEffectOnce guards against a deposit that is charged twice, or charged although its callers were told
// that it was not. Two callers send each deposit under one idempotency key, a node is killed, and the object API loses
// responses and is down for a moment.
func TestDepositsTakeEffectOnce(t *testing.T) {
	user := users.Duwende()
	cluster := startCluster(t, user, 2, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	const deposits = 40
	oracle := &depositOracle{hasAnswer: map[string]bool{}, hasUnknownOutcome: map[string]bool{}}
	var callers sync.WaitGroup
	for i := range deposits {
		for callerIndex := range 2 {
			callers.Go(func() {
				c := caller.New(user.Token)
				for attempt := range 12 {
					node := cluster.Nodes[(i+3*callerIndex+attempt)%len(cluster.Nodes)]
					callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
					_, err := c.Call(callCtx, node.CallerAddress, http.MethodPost, user.NonIdempotentCall, depositName(i), depositName(i))
					cancel()
					if !oracle.recordOutcome(depositName(i), err) {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		faults := objectapi.Faults{}
		switch i {
		case 5:
			faults.DropResponses = 5
		case 15:
			cluster.Nodes[1].Kill()
		case 20:
			faults.Down = true
		}
		if err := process.DoJSON(http.MethodPut, cluster.ObjectAPIURL+"/control/faults", faults, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	var effects []service.Effect
	if err := process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/effects", nil, &effects); err != nil {
		t.Fatal(err)
	}
	oracle.checkEffects(t, effects, deposits)
	if len(oracle.hasAnswer) == 0 {
		t.Error("no deposit was answered")
	}
}
