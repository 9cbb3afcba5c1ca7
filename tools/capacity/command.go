package capacity

import (
	"fmt"
	"io"
	"runtime"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
)

type options struct {
	Part []string `long:"part" choice:"decisions" choice:"messages" choice:"plumbing" description:"what to measure; repeatable; default: all"`
}

const method = `Processor time is that of the process (getrusage), garbage collection
included, over at least %s for each figure. Memory is the growth of live heap
and stacks. Length is the number of encoded bytes. The line is fitted by least
squares; "at target" is its value at the target size. %s, %d cores used.

`

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var o options
	rest, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err == nil {
		err = cli.NoArguments(rest)
	}
	if err != nil {
		return cli.Exit(err, stdout, stderr)
	}
	if len(o.Part) == 0 {
		o.Part = []string{"decisions", "messages", "plumbing"}
	}
	fmt.Fprintf(stdout, method, minTime, runtime.Version(), runtime.GOMAXPROCS(0))
	for _, part := range o.Part {
		series := map[string]func() []Series{"decisions": Decisions, "messages": Messages, "plumbing": Plumbing}[part]
		fmt.Fprintf(stdout, "%s\n\n", part)
		Print(stdout, series())
		fmt.Fprintln(stdout)
	}
	return cli.ExitOK
}
