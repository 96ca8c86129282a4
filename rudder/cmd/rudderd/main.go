// Command rudderd is the daemon that runs on every entry host. With the single argument "platform" it takes its
// settings from the settings file of the Pintura Duwende platform instead of flags and environment variables.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"chestnutrudder.example/platform"
	"chestnutrudder.example/rudder/daemon"
	"chestnutrudder.example/rudder/settings"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "platform" {
		runOnPlatform()
		return
	}
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

// runOnPlatform runs the node with the settings file, the store and the registry of the platform. SIGHUP requests a reload.
func runOnPlatform() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for range hangups {
			reload <- struct{}{}
		}
	}()
	if err := platform.Run(ctx, reload, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rudderd:", err)
		os.Exit(1)
	}
}
