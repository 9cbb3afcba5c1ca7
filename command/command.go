// Package command implements the subcommands of the hibiscusyard program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	apexjson "github.com/apex/log/handlers/json"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard"
	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/plumbing/logsink"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
	"github.com/hibiscusyard/hibiscusyard/settings"
)

type streams struct{ out, err io.Writer }

type options struct {
	Serve    serveCommand    `command:"serve" description:"Run one instance until SIGTERM or SIGINT"`
	Validate validateCommand `command:"validate" description:"Check settings, routes or pools files and report all errors"`
	Check    checkCommand    `command:"check" description:"Report probable mistakes in routes and pools files, and what they would change"`
	Routes   tableCommands   `command:"routes" description:"Read and edit the routes table"`
	Pools    tableCommands   `command:"pools" description:"Read and edit the pools table"`
	Status   statusCommand   `command:"status" description:"Show an instance, its members and the versions in force"`
	Version  versionCommand  `command:"version" description:"Print the version of the build"`
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	io := streams{out: stdout, err: stderr}
	opts := &options{}
	opts.Serve.streams, opts.Validate.streams, opts.Check.streams, opts.Status.streams, opts.Version.streams = io, io, io, io, io
	opts.Routes.bind("routes", io)
	opts.Pools.bind("pools", io)
	code := cli.Run("hibiscusyard", opts, args, stdout, stderr)
	if code == cli.ExitUsage {
		fmt.Fprintln(stderr, "run \"hibiscusyard --help\" for usage")
	}
	return code
}

type versionCommand struct{ streams }

func (c *versionCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "hibiscusyard", hibiscusyard.Version)
	return nil
}

// runtimeShare is the share of a machine's memory that is the soft limit of the Go runtime;
// the code of the program and what the collector has not freed yet come on top.
const runtimeShare = 0.6

type serveCommand struct {
	streams
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"yes" description:"JSON settings of the instance"`
}

// Execute runs an instance. The first signal starts a graceful shutdown, the
// second ends the shutdown immediately and aborts the requests in flight.
func (c *serveCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	s, err := settings.LoadFile(c.Settings)
	if err != nil {
		return err
	}
	sink := logsink.New(c.err)
	defer sink.Close()
	logger := &log.Logger{Handler: apexjson.New(sink), Level: log.MustParseLevel(s.LogLevel)}
	instance, err := hibiscusyard.New(*s, logger)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(runtimeShare * float64(s.MemoryBytes())))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := instance.Start(); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		logger.WithField("requests", instance.Running()).Error("second signal: aborting the requests in flight")
		cancel()
	}()
	return instance.Shutdown(ctx)
}

type validateCommand struct {
	streams
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"settings to check"`
	Routes   string `short:"r" long:"routes" value-name:"FILE" description:"routes table to check, together with --pools"`
	Pools    string `short:"p" long:"pools" value-name:"FILE" description:"pools table to check"`
}

// Execute reports all errors in the given files.
func (c *validateCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	if c.Settings == "" && c.Routes == "" && c.Pools == "" {
		return fmt.Errorf("%w: give at least one of --settings, --routes and --pools", cli.ErrUsage)
	}
	if c.Routes != "" && c.Pools == "" {
		return fmt.Errorf("%w: --routes needs --pools, because routes name pools", cli.ErrUsage)
	}
	var failures []error
	if c.Settings != "" {
		if _, err := settings.LoadFile(c.Settings); err != nil {
			failures = append(failures, err)
		}
	}
	if c.Pools != "" {
		failures = append(failures, c.tables())
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "valid")
	return nil
}

func (c *validateCommand) tables() error {
	var routes admin.RoutesDocument
	var pools admin.PoolsDocument
	if err := errors.Join(decodeFile(c.Routes, &routes), decodeFile(c.Pools, &pools)); err != nil {
		return err
	}
	tables := &catalog.Catalog{Routes: routes.Routes, Pools: pools.Pools}
	tables.ApplyDefaults()
	return tables.Validate()
}

func decodeFile(path string, target any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return oops.In("command").Wrap(err)
	}
	if err := strictjson.Decode(data, target); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
