// Package command implements the verbs of rudderctl, one file for each. Only cmd/rudderctl calls it.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
)

// Exit codes.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

type arguments struct {
	Apply     *applyArguments `arg:"subcommand:apply" help:"write objects"`
	ObjectAPI string          `arg:"--object-api,env:RUDDER_OBJECT_API" help:"base URL of the object API"`
}

// Run runs one verb and returns its exit code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "rudderctl"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, "rudderctl:", err)
		return ExitError
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(stdout)
		return ExitOK
	}
	if err != nil || a.Apply == nil {
		parser.WriteUsage(stderr)
		return ExitUsage
	}
	store := objectapi.NewClient(a.ObjectAPI, nil)
	if err := apply(context.Background(), store, *a.Apply, stdin, stdout); err != nil {
		fmt.Fprintln(stderr, "rudderctl:", err)
		return ExitError
	}
	return ExitOK
}
