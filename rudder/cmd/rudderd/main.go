// Command rudderd is the daemon that runs on every entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"chestnutrudder.example/rudder/daemon"
	"chestnutrudder.example/rudder/settings"
)

func main() {
	s, err := settings.Parse(os.Args[1:])
	if errors.Is(err, arg.ErrHelp) {
		settings.WriteHelp(os.Stdout)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rudderd:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx, s, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "rudderd:", err)
		os.Exit(1)
	}
}
