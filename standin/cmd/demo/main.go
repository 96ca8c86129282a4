// Command demo shows the main function of the system on loopback: it starts stand-ins and nodes, applies the example
// objects, sends requests and crashes a runner in the middle of a long answer. It exits with status 0 only if every answer
// was complete.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

const demoTimeout = 60 * time.Second

type arguments struct {
	BinDir   string `arg:"--bin-dir" default:"bin" help:"directory of the built programs"`
	Examples string `arg:"--examples" default:"examples" help:"directory of the example objects"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	for _, user := range []users.User{users.Duwende(), users.Zlato()} {
		if err := runDemo(ctx, a, user); err != nil {
			fmt.Fprintf(os.Stderr, "demo: %s: %v\n", user.Name, err)
			os.Exit(1)
		}
	}
	fmt.Println("Every answer was whole.")
}

// runDemo runs the demo on a cluster of one user.
func runDemo(ctx context.Context, a arguments, user users.User) error {
	logDir, err := os.MkdirTemp("", "chestnutrudder-demo-")
	if err != nil {
		return err
	}
	cluster, err := process.StartCluster(user.ClusterConfig(a.BinDir, logDir, a.Examples, 1))
	if err != nil {
		return errors.Wrapf(err, "start cluster, logs in %s", logDir)
	}
	defer cluster.Stop()
	fmt.Printf("%s: %d nodes and %d backend servers are running.\n", user.Name, len(cluster.Nodes), user.BackendServerCount())
	c := caller.New(user.Token, cluster.Nodes[0].CallerAddress)
	addresses, err := c.FetchAddresses(ctx)
	if err != nil {
		return err
	}
	address := addresses.Addresses[0].Address
	if err := askAndCheck(ctx, c, address, user.Model, "which red for a small cap", 12); err != nil {
		return err
	}
	if err := askDuringRunnerCrash(ctx, c, address, user, cluster); err != nil {
		return err
	}
	raw, err := c.Call(ctx, address, http.MethodGet, user.IdempotentCall, map[string]string{}, "")
	if err != nil {
		return err
	}
	fmt.Printf("%s: the service answered %s", user.Name, raw)
	return nil
}

// askAndCheck sends one message and compares the answer with the one that the engine stand-in generates for it.
func askAndCheck(ctx context.Context, c *caller.Caller, address, model, content string, tokens int) error {
	answer, err := c.Chat(ctx, address, model, content, tokens, "")
	if err != nil {
		return err
	}
	if !slices.Equal(answer.Tokens, engine.Answer(caller.Prompt(content), tokens)) {
		return errors.Errorf("check answer to %q: tokens differ from the expected ones", content)
	}
	fmt.Printf("  answer of %d tokens is whole: first token after %d ms, %d attempts, %d tokens recomputed\n",
		len(answer.Tokens), answer.TimeToFirstToken.Milliseconds(), answer.Usage.Attempts, answer.Usage.RecomputedTokens)
	return nil
}

// askDuringRunnerCrash requests a long answer and, one second later, crashes the host with the most runs.
func askDuringRunnerCrash(ctx context.Context, c *caller.Caller, address string, user users.User, cluster *process.Cluster) error {
	result := make(chan error, 1)
	go func() { result <- askAndCheck(ctx, c, address, user.Model, "a long and detailed order", 300) }()
	time.Sleep(time.Second)
	host, err := busiestHost(cluster)
	if err != nil {
		return err
	}
	if err := process.DoJSON(http.MethodPost, cluster.CloudURL+"/control/hosts/"+host+"/crash", nil, nil); err != nil {
		return err
	}
	fmt.Printf("  runner %s was taken away\n", host)
	return <-result
}

// busiestHost returns the name of the host whose engine has the most runs.
func busiestHost(cluster *process.Cluster) (string, error) {
	var busiest cloud.BusiestHost
	err := process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/busiest", nil, &busiest)
	return busiest.Host, err
}
