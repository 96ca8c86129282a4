package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/objectapi"
)

// errNoDecisions means that no node that was asked has a decision about the subject; nodes keep only the most recent ones.
var errNoDecisions = errors.New("no node has a decision about it; nodes keep only the last ones")

type explainArguments struct {
	Run   *explainSubject `arg:"subcommand:run" help:"why a request or call went where it went"`
	Host  *explainSubject `arg:"subcommand:host" help:"why work was placed on a host, and which node dispatches to it"`
	Admin []string        `arg:"--admin,separate" help:"IP:port of a node's admin address, asked in place of those in the object API; may be repeated"`
}

type explainSubject struct {
	Name string `arg:"positional,required" help:"run ID or host name"`
}

// run reads the decisions about a run or host from all nodes and prints them in order of time. A node that fails to respond
// is reported on stderr; it is an error only if the others have no decision.
func (a *explainArguments) run(ctx context.Context, env *environment) error {
	var subject string
	switch {
	case a.Run != nil:
		subject = a.Run.Name
	case a.Host != nil:
		subject = a.Host.Name
	default:
		return usageError("explain: no subject, allowed: run ID, host NAME")
	}
	addresses, err := a.adminAddresses(ctx, env)
	if err != nil {
		return err
	}
	decisions, failures := env.fetchDecisions(ctx, addresses, subject)
	for _, failure := range failures {
		fmt.Fprintln(env.stderr, "rudderctl: node does not answer:", failure)
	}
	if len(decisions) == 0 {
		if len(failures) > 0 {
			return errors.Wrapf(objectapi.ErrUnavailable, "%s: %d of %d nodes do not answer and the others know nothing", subject, len(failures), len(addresses))
		}
		return errors.Wrap(errNoDecisions, subject)
	}
	slices.SortStableFunc(decisions, func(x, y decision.Decision) int { return x.Time.Compare(y.Time) })
	if env.jsonOutput {
		return printJSON(env.stdout, decisions)
	}
	rows := make([][]string, len(decisions))
	for i, d := range decisions {
		rows[i] = []string{d.Time.Format("15:04:05.000"), d.Node, d.Part, d.Subject, d.Choice, d.Reason, strings.Join(d.Rejected, "; ")}
	}
	return printTable(env.stdout, []string{"TIME", "NODE", "PART", "SUBJECT", "CHOICE", "REASON", "REJECTED"}, rows)
}

// adminAddresses returns the admin addresses of the nodes, from --admin or else from the object API.
func (a *explainArguments) adminAddresses(ctx context.Context, env *environment) ([]string, error) {
	if len(a.Admin) > 0 {
		return a.Admin, nil
	}
	if err := env.requireStore(); err != nil {
		return nil, err
	}
	listing, err := env.store.List(ctx, "nodes/")
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, o := range listing.Objects {
		var node membership.Node
		if json.Unmarshal(o.Value, &node) == nil && node.AdminAddress != "" {
			addresses = append(addresses, node.AdminAddress)
		}
	}
	return addresses, nil
}

// maxConcurrentRequests is the maximum number of concurrent requests to nodes.
const maxConcurrentRequests = 32

// fetchDecisions returns the decisions of all nodes about a subject, and the errors of the nodes whose request failed.
func (env *environment) fetchDecisions(ctx context.Context, addresses []string, subject string) ([]decision.Decision, []string) {
	var mu sync.Mutex
	var decisions []decision.Decision
	var failures []string
	var pending sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRequests)
	for _, address := range addresses {
		pending.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore; pending.Done() }()
			nodeDecisions, err := env.fetchNodeDecisions(ctx, address, subject)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err.Error())
			}
			decisions = append(decisions, nodeDecisions...)
		}()
	}
	pending.Wait()
	slices.Sort(failures)
	return decisions, failures
}

// fetchNodeDecisions reads the decisions about a subject from one node. Errors begin with its address.
func (env *environment) fetchNodeDecisions(ctx context.Context, address, subject string) ([]decision.Decision, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/decisions?subject="+url.QueryEscape(subject), nil)
	if err != nil {
		return nil, errors.Wrap(err, address)
	}
	response, err := env.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d", address, response.StatusCode)
	}
	var decisions []decision.Decision
	return decisions, errors.Wrap(json.NewDecoder(response.Body).Decode(&decisions), address)
}
