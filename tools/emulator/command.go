package emulator

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	apexjson "github.com/apex/log/handlers/json"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/plumbing/logsink"
)

// scenarioArgument is the positional scenario file argument of all commands.
type scenarioArgument struct {
	Arguments struct {
		Scenario string `positional-arg-name:"SCENARIO" description:"scenario file in JSON"`
	} `positional-args:"yes" required:"yes"`
}

type runCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the plan; the same seed and scenario give the same plan"`
	Out  string `long:"out" default:"emulator-report" value-name:"FOLDER" description:"folder for report.md, report.json, the plots and the instances' log"`
	scenarioArgument
	out io.Writer
}

type planCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the plan"`
	scenarioArgument
	out io.Writer
}

type validateCommand struct {
	scenarioArgument
	out io.Writer
}

type options struct {
	Plan     planCommand     `command:"plan" description:"Print the requests that a run would send" long-description:"Example: hibiscusyard-emulator plan --seed 7 festival.json"`
	Run      runCommand      `command:"run" description:"Play a scenario and write a report" long-description:"Example: hibiscusyard-emulator run --seed 7 --out /tmp/festival festival.json"`
	Validate validateCommand `command:"validate" description:"Check a scenario file and report all errors"`
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &options{}
	opts.Plan.out, opts.Run.out, opts.Validate.out = stdout, stdout, stdout
	return cli.Run("hibiscusyard-emulator", opts, args, stdout, stderr)
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	if _, err := LoadScenario(c.Arguments.Scenario); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.out, "the scenario is valid")
	return err
}

// Execute implements flags.Commander.
func (c *planCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	s, err := LoadScenario(c.Arguments.Scenario)
	if err != nil {
		return err
	}
	return NewPlan(s, c.Seed).Write(c.out, s)
}

// Execute implements flags.Commander.
func (c *runCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	s, err := LoadScenario(c.Arguments.Scenario)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := run(ctx, s, c.Seed, c.Out, c.out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "\n%s\nReport written to %s; hibiscusyard-front explain reads its instances.log.\n", report.Markdown(), c.Out)
	return err
}

// run executes a scenario and writes its report and the instances' log to a
// folder.
func run(ctx context.Context, s *Scenario, seed uint64, folder string, progress io.Writer) (*Report, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, oops.In("emulator").Wrap(err)
	}
	file, err := os.Create(folder + "/instances.log")
	if err != nil {
		return nil, oops.In("emulator").Wrap(err)
	}
	defer file.Close() //nolint:errcheck // the sink reports its own errors.
	sink := logsink.New(file)
	defer sink.Close()
	w, err := Start(ctx, s, &log.Logger{Handler: apexjson.New(sink), Level: log.InfoLevel})
	defer w.Stop()
	if err != nil {
		return nil, err
	}
	p := NewPlan(s, seed)
	results := w.Play(ctx, p, progress)
	report := NewReport(s, p, results, w.engineWork(), w.store.Calls())
	report.Scaling, report.Usage = w.scalingReport(), w.usageReport()
	return report, report.Write(folder)
}
