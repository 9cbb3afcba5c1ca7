// Command experiment compares policies with their baselines in simulated time.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/tools/experiment"
)

// commands lists the subcommands; each is a flags.Commander with its own options.
var commands = []struct {
	name, short string
	command     flags.Commander
}{
	{"placement", "Compares placement policies on arrival traces", &experiment.Placement{}},
	{"quota", "Compares ways to limit rates over several instances", experiment.NewQuota(os.Stdout)},
}

func main() {
	parser := flags.NewNamedParser("experiment", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.command); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	os.Exit(cli.Exit(err, os.Stdout, os.Stderr))
}
