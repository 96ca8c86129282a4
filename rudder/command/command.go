// Package command implements the subcommands of rudderctl, one file for each. cmd/rudderctl and tests of adapters call it.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

// Exit codes of rudderctl.
const (
	ExitOK             = 0
	ExitError          = 1 // any other error, such as an unreadable file; a checked configuration has findings
	ExitUsage          = 2 // unknown or missing subcommand, or an invalid flag or argument; a configuration could not be checked
	ExitInvalid        = 3 // an object is invalid, or one to be deleted is still referenced by others; nothing was written
	ExitNotFound       = 4 // the object does not exist, or no node has a decision about the run or host
	ExitConflict       = 5 // the stored version of an object is not the expected one; that object was not written
	ExitUnavailable    = 6 // the object API or the nodes do not respond; the failed call wrote nothing
	ExitOutcomeUnknown = 7 // a write was sent, but it is not known whether it took effect
)

// arguments are the subcommands and the flags that all of them share.
type arguments struct {
	Validate *validateArguments `arg:"subcommand:validate" help:"check objects without writing them"`
	Apply    *applyArguments    `arg:"subcommand:apply" help:"write objects"`
	Get      *getArguments      `arg:"subcommand:get" help:"show objects"`
	List     *listArguments     `arg:"subcommand:list" help:"list objects"`
	Delete   *deleteArguments   `arg:"subcommand:delete" help:"delete objects"`
	Watch    *watchArguments    `arg:"subcommand:watch" help:"show changes as they come"`
	Status   *statusArguments   `arg:"subcommand:status" help:"show which objects are accepted and in force"`
	Explain  *explainArguments  `arg:"subcommand:explain" help:"show why a request or host was chosen"`
	Config   *configArguments   `arg:"subcommand:config" help:"configuration of relayed traffic"`

	ObjectAPI string `arg:"--object-api,env:RUDDER_OBJECT_API" help:"base URL of the object API"`
	Output    string `arg:"-o,--output" default:"table" help:"table or json"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "rudderctl writes the objects of chestnutrudder and shows their status."
}

// Epilogue is shown by --help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 other error, 2 usage, 3 invalid object, 4 not found, 5 conflict, 6 unavailable, 7 write of unknown effect. Of config check: 0 no findings, 1 findings, 2 could not check."
}

// environment holds the clients, the standard streams and the output format for a subcommand.
type environment struct {
	store      objectapi.Store // nil if no object API is given
	configForm ConfigForm
	http       *http.Client // for the admin addresses of nodes
	stdin      io.Reader
	stdout     io.Writer
	stderr     io.Writer
	jsonOutput bool
}

// nodeRequestTimeout is the time limit of one request to the admin address of a node.
const nodeRequestTimeout = 3 * time.Second

// Run parses args (without the program name), runs the subcommand that they name and returns its exit code. SIGINT and
// SIGTERM cancel the subcommand. Errors are printed to stderr. form is that of the configuration of relayed traffic.
func Run(args []string, form ConfigForm, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	newStore := func(baseURL string) objectapi.Store { return objectapi.NewClient(baseURL, nil) }
	env := &environment{http: &http.Client{Timeout: nodeRequestTimeout}, configForm: form, stdin: stdin, stdout: stdout, stderr: stderr}
	return run(ctx, args, env, newStore)
}

type subcommand interface {
	run(ctx context.Context, env *environment) error
}

// run is Run with the context, the environment and the constructor of the object API client given by the caller.
func run(ctx context.Context, args []string, env *environment, newStore func(baseURL string) objectapi.Store) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "rudderctl"}, &a)
	if err != nil {
		fmt.Fprintln(env.stderr, "rudderctl:", err)
		return ExitError
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(env.stdout, parser.SubcommandNames()...)
		return ExitOK
	}
	cmd := a.subcommand()
	if err == nil && a.Config != nil && cmd == nil {
		err = errors.New("config: no verb given, allowed: check")
	}
	if err == nil && cmd == nil {
		err = errors.New("verb: none given, allowed: validate, apply, get, list, delete, watch, status, explain, config")
	}
	if err == nil && a.Output != "table" && a.Output != "json" {
		err = errors.Errorf("--output: value %q, allowed: table, json", a.Output)
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(env.stderr, parser.SubcommandNames()...)
		fmt.Fprintln(env.stderr, "rudderctl:", err)
		return ExitUsage
	}
	env.jsonOutput = a.Output == "json"
	if a.ObjectAPI != "" {
		env.store = newStore(a.ObjectAPI)
	}
	err = cmd.run(ctx, env)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(env.stderr, "rudderctl:", err)
	return exitCode(err)
}

// subcommand returns the subcommand that was given on the command line, or nil if there is none.
func (a *arguments) subcommand() subcommand {
	switch {
	case a.Validate != nil:
		return a.Validate
	case a.Apply != nil:
		return a.Apply
	case a.Get != nil:
		return a.Get
	case a.List != nil:
		return a.List
	case a.Delete != nil:
		return a.Delete
	case a.Watch != nil:
		return a.Watch
	case a.Status != nil:
		return a.Status
	case a.Explain != nil:
		return a.Explain
	case a.Config != nil && a.Config.Check != nil:
		return a.Config.Check
	}
	return nil
}

// usageError describes invalid arguments that the argument parser does not detect.
type usageError string

func (e usageError) Error() string { return string(e) }

// exitCode returns the exit code for an error of a subcommand.
func exitCode(err error) int {
	var problems object.Problems
	var conflict *conflictError
	var usage usageError
	var notChecked *checkError
	switch {
	case errors.As(err, &notChecked): // also if its cause has an exit code of its own
		return ExitUsage
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &conflict), errors.Is(err, objectapi.ErrConflict):
		return ExitConflict
	case errors.Is(err, objectapi.ErrNotFound), errors.Is(err, errNoDecisions):
		return ExitNotFound
	case errors.Is(err, objectapi.ErrUnavailable):
		return ExitUnavailable
	case errors.Is(err, objectapi.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	}
	return ExitError
}

// requireStore returns a usage error if no base URL of the object API is set.
func (env *environment) requireStore() error {
	if env.store == nil {
		return usageError(`--object-api: value "", allowed: the base URL of the object API (or RUDDER_OBJECT_API)`)
	}
	return nil
}
