// Command experiment runs policies on virtual time against baselines.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusyard/hibiscusyard/experiment"
)

func main() {
	parser := flags.NewParser(nil, flags.Default)
	add(parser, "placement", "placement of models and adapters against baselines", &experiment.Placement{})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

// add registers a subcommand; data has an Execute method.
func add(parser *flags.Parser, name, description string, data any) {
	if _, err := parser.AddCommand(name, description, "", data); err != nil {
		panic(err) // the options of a command are malformed
	}
}
