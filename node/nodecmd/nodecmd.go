// Package nodecmd implements the command line of the daemon for the users'
// platform.
package nodecmd

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	apexjson "github.com/apex/log/handlers/json"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/plumbing/logsink"
	"github.com/hibiscusyard/hibiscusyard/tools/explain"
)

// settingsEnv is the environment variable with the path of the settings file, used
// without --settings.
const settingsEnv = "HIBISCUSYARD_SETTINGS"

// windowPrefix marks the number of a window of the usage reports in place of a request ID.
const windowPrefix = "window:"

type common struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file in JSON; default: the file that HIBISCUSYARD_SETTINGS names"`
	out      io.Writer
}

func (c *common) load() (node.Settings, error) {
	path := c.Settings
	if path == "" {
		path = os.Getenv(settingsEnv)
	}
	if path == "" {
		return node.Settings{}, fmt.Errorf("%w: --settings or %s must name a file", cli.ErrUsage, settingsEnv)
	}
	return node.LoadSettings(path)
}

type serveCommand struct{ common }

type validateCommand struct{ common }

type explainCommand struct {
	Before    time.Duration `long:"before" default:"5s" description:"how long before the request changes of state are shown"`
	Arguments struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
	out io.Writer
}

type options struct {
	Explain  explainCommand  `command:"explain" description:"Print what log files of several instances tell of one request, in order of time" long-description:"Example: hibiscusyard-front explain 9c41d07be2a35f68 entry-1.log entry-2.log. With window:NUMBER in place of the ID: what they tell of the usage report of that window."`
	Serve    serveCommand    `command:"serve" description:"Run one instance until SIGTERM or SIGINT"`
	Validate validateCommand `command:"validate" description:"Check a settings file and report all errors"`
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &options{}
	opts.Serve.out, opts.Validate.out, opts.Explain.out = stdout, stdout, stdout
	return cli.Run("hibiscusyard-front", opts, args, stdout, stderr)
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	if _, err := c.load(); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "the settings are valid")
	return nil
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	settings, err := c.load()
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return err
	}
	sink := logsink.New(c.out)
	defer sink.Close()
	logger := &log.Logger{Handler: apexjson.New(sink), Level: level}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	instance := node.New(settings, logger)
	if err := instance.Start(); err != nil {
		return err
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		c.reload(logger, settings)
	}
	instance.Shutdown()
	return nil
}

// reload validates the settings file and logs whether it has changed. Settings
// describe the machine or the deployment's guarantees, so changes apply only at the
// next start.
func (c *serveCommand) reload(logger log.Interface, current node.Settings) {
	changed, err := c.load()
	switch {
	case err != nil:
		logger.WithError(err).Error("changed settings are invalid; keeping the current ones")
	case !reflect.DeepEqual(changed, current):
		logger.Warn("settings have changed; they apply at the next start")
	default:
		logger.Info("settings reloaded; no changes")
	}
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	var lines []explain.Line
	for _, path := range c.Arguments.Files {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		parsed, err := explain.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, parsed...)
	}
	if number, ok := strings.CutPrefix(c.Arguments.Request, windowPrefix); ok {
		window, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			return fmt.Errorf("window %q: %w", number, err)
		}
		events := explain.Window(lines, window, c.Before)
		if len(events) == 0 {
			return fmt.Errorf("no log line is about the usage of window %d", window)
		}
		return explain.Print(c.out, events)
	}
	events := explain.Request(lines, c.Arguments.Request, c.Before)
	if len(events) == 0 {
		return fmt.Errorf("no log line mentions request %s", c.Arguments.Request)
	}
	return explain.Print(c.out, events)
}
