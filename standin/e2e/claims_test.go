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

// depositOracle knows what callers were told about each deposit.
type depositOracle struct {
	mu       sync.Mutex
	answered map[string]bool // some caller got the answer
	unknown  map[string]bool // some caller was told unknown, or got nothing
}

func (o *depositOracle) told(deposit string, err error) (retry bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var failure *caller.ProblemError
	switch {
	case err == nil:
		o.answered[deposit] = true
		return false
	case errors.As(err, &failure) && failure.Run == "no":
		return true
	default:
		o.unknown[deposit] = true
		return true
	}
}

// check compares what callers were told with what took effect.
func (o *depositOracle) check(t *testing.T, effects []service.Effect, deposits int) {
	t.Helper()
	count := map[string]int{}
	for _, e := range effects {
		if strings.HasPrefix(e.Path, "/deposits") {
			count[strings.Trim(e.Body, "\"")]++
		}
	}
	for i := range deposits {
		deposit := depositName(i)
		switch effects := count[deposit]; {
		case effects > 1:
			t.Errorf("%s took effect %d times", deposit, effects)
		case effects == 1 && !o.answered[deposit] && !o.unknown[deposit]:
			t.Errorf("%s took effect although every caller was told that it was not run", deposit)
		case effects == 0 && o.answered[deposit]:
			t.Errorf("%s was answered and did not take effect", deposit)
		}
	}
	t.Logf("%d deposits: %d answered, %d with an unknown outcome on the way, %d effects", deposits, len(o.answered), len(o.unknown), len(effects))
}

func depositName(i int) string { return fmt.Sprintf("deposit-%d", i) }

// TestDepositsTakeEffectOnce guards against a deposit that is charged twice, or charged after its caller was told that
// it was not, while the object API loses answers and is down, and a node is killed.
func TestDepositsTakeEffectOnce(t *testing.T) {
	user := users.Duwende()
	cluster := startUser(t, user, 2, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	const deposits = 40
	oracle := &depositOracle{answered: map[string]bool{}, unknown: map[string]bool{}}
	var callers sync.WaitGroup
	for i := range deposits {
		for shop := range 2 {
			callers.Go(func() {
				c := caller.New(user.Token)
				for try := range 12 {
					node := cluster.Nodes[(i+3*shop+try)%len(cluster.Nodes)]
					callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
					_, err := c.Call(callCtx, node.Caller, http.MethodPost, user.WriteCall, depositName(i), depositName(i))
					cancel()
					if !oracle.told(depositName(i), err) {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		faults := objectapi.Faults{}
		switch i {
		case 5:
			faults.LoseAnswers = 5
		case 15:
			cluster.Nodes[1].Kill()
		case 20:
			faults.Down = true
		}
		if err := process.Control(http.MethodPut, cluster.ObjectAPI+"/control/faults", faults, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	var effects []service.Effect
	if err := process.Control(http.MethodGet, cluster.Cloud+"/control/effects", nil, &effects); err != nil {
		t.Fatal(err)
	}
	oracle.check(t, effects, deposits)
	if len(oracle.answered) == 0 {
		t.Error("no deposit was answered")
	}
}
