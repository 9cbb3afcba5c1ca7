package capacity

import (
	"errors"
	"fmt"
	"io"
	"runtime"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitDone  = 0
	exitUsage = 2
)

type options struct {
	Part []string `long:"part" choice:"decisions" choice:"messages" choice:"plumbing" description:"what to measure; repeatable; default: all"`
}

const method = `Processor time is that of the process (getrusage), the garbage collector's part
included, over at least %s for each figure. Memory is the growth of live heap
and stacks. Length is the number of encoded bytes. The line is fitted by least
squares; "at target" is its value at the target size. %s, %d cores used.

`

// Run runs the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var o options
	rest, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return exitDone
		}
		fmt.Fprintln(stderr, err)
		return exitUsage
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
	return exitDone
}
