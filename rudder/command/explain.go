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

// errNothingKnown means that no node keeps a decision about the subject.
var errNothingKnown = errors.New("no node has a decision about it; nodes keep only the last ones")

type explainArguments struct {
	Run   *explainSubject `arg:"subcommand:run" help:"why a request or call went where it went"`
	Host  *explainSubject `arg:"subcommand:host" help:"why work was placed on a host, and which node dispatches to it"`
	Admin []string        `arg:"--admin,separate" help:"IP:port of a node's admin address, asked in place of those in the object API; may be repeated"`
}

type explainSubject struct {
	Name string `arg:"positional,required" help:"run ID or host name"`
}

// run asks all nodes for their decisions about a run or a host and prints them by time.
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
	addresses, err := a.addresses(ctx, env)
	if err != nil {
		return err
	}
	decisions, silent := env.ask(ctx, addresses, subject)
	for _, reason := range silent {
		fmt.Fprintln(env.stderr, "rudderctl: node does not answer:", reason)
	}
	if len(decisions) == 0 {
		if len(silent) > 0 {
			return errors.Wrapf(objectapi.ErrUnavailable, "%s: %d of %d nodes do not answer and the others know nothing", subject, len(silent), len(addresses))
		}
		return errors.Wrap(errNothingKnown, subject)
	}
	slices.SortStableFunc(decisions, func(x, y decision.Decision) int { return x.Time.Compare(y.Time) })
	if env.json {
		return printJSON(env.stdout, decisions)
	}
	rows := make([][]string, len(decisions))
	for i, d := range decisions {
		rows[i] = []string{d.Time.Format("15:04:05.000"), d.Node, d.Part, d.Subject, d.Choice, d.Reason, strings.Join(d.Rejected, "; ")}
	}
	return printTable(env.stdout, []string{"TIME", "NODE", "PART", "SUBJECT", "CHOICE", "REASON", "REJECTED"}, rows)
}

// addresses returns the admin addresses of the nodes.
func (a *explainArguments) addresses(ctx context.Context, env *environment) ([]string, error) {
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

// maxAsked bounds the nodes that are asked at the same time.
const maxAsked = 32

// ask collects the decisions of all nodes, and the reasons of those that do not answer.
func (env *environment) ask(ctx context.Context, addresses []string, subject string) ([]decision.Decision, []string) {
	var mu sync.Mutex
	var decisions []decision.Decision
	var silent []string
	var asked sync.WaitGroup
	slots := make(chan struct{}, maxAsked)
	for _, address := range addresses {
		asked.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; asked.Done() }()
			found, err := env.askNode(ctx, address, subject)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, err.Error())
			}
			decisions = append(decisions, found...)
		}()
	}
	asked.Wait()
	slices.Sort(silent)
	return decisions, silent
}

func (env *environment) askNode(ctx context.Context, address, subject string) ([]decision.Decision, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/decisions?subject="+url.QueryEscape(subject), nil)
	if err != nil {
		return nil, errors.Wrap(err, address)
	}
	reply, err := env.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, address)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d", address, reply.StatusCode)
	}
	var decisions []decision.Decision
	return decisions, errors.Wrap(json.NewDecoder(reply.Body).Decode(&decisions), address)
}
