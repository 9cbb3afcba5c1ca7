// Package cli provides the command-line handling shared by all programs.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// ErrUsage marks a usage error that go-flags does not detect.
var ErrUsage = errors.New("wrong usage")

// ErrInput marks input that can't be read, in programs that distinguish it from
// findings in the input. It has the exit code of wrong usage.
var ErrInput = errors.New("can't read the input")

// NoArguments returns an error that wraps ErrUsage if args, the arguments that
// are not options, is not empty.
func NoArguments(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", ErrUsage, args[0])
	}
	return nil
}

// Run parses the arguments of a program whose commands are the tagged fields of
// options, runs the command given in args and returns the exit code.
func Run(program string, options any, args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		fmt.Fprintln(stderr, err) //nolint:errcheck // the error can't be reported anywhere else.
		return ExitFailure
	}
	_, err := parser.ParseArgs(args)
	return Exit(err, stdout, stderr)
}

// Exit reports the result of a command line and returns the exit code. Help
// goes to stdout, errors go to stderr.
func Exit(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage), errors.Is(err, ErrUsage), errors.Is(err, ErrInput):
		fmt.Fprintln(stderr, err)
		return ExitUsage
	default:
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
}
