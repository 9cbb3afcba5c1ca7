// Command hibiscusyard-dev runs a sample system in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/hibiscusyard/hibiscusyard/development"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.SetHandler(json.New(os.Stderr))
	system, err := development.Start(ctx, log.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	system.Explain(os.Stdout)
	<-ctx.Done()
	if err := system.Stop(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
