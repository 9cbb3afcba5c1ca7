// Command hibiscusyard-dev runs a sample system in one process, for development.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jessevdk/go-flags"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/tools/development"
)

type options struct {
	Platform bool `long:"platform" description:"run on a stand-in of the users' platform"`
}

func main() { os.Exit(cli.Exit(run(), os.Stdout, os.Stderr)) }

func run() error {
	var opts options
	args, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse()
	if err != nil {
		return err
	}
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.SetHandler(json.New(os.Stderr))
	if opts.Platform {
		return runPlatform(ctx)
	}
	system, err := development.Start(ctx, log.Log)
	if err != nil {
		return err
	}
	system.Explain(os.Stdout)
	<-ctx.Done()
	return system.Stop(context.Background())
}

func runPlatform(ctx context.Context) error {
	system, err := development.StartPlatform(ctx, log.Log)
	if err != nil {
		return err
	}
	defer system.Stop()
	system.Explain(os.Stdout)
	<-ctx.Done()
	fmt.Fprintln(os.Stdout, "stopped")
	return nil
}
