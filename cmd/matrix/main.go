// Command matrix prints the counts of the fault matrix, its documentation page, or
// the commands that run its tests.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/tools/faultmatrix"
)

func main() {
	var options struct {
		Page     bool `long:"page" description:"print the page docs/fault-matrix.md"`
		Commands bool `long:"commands" description:"print the commands that run the named tests"`
	}
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.Parse(); err != nil {
		os.Exit(cli.Exit(err, os.Stdout, os.Stderr))
	}
	switch {
	case options.Page:
		faultmatrix.Write(os.Stdout)
	case options.Commands:
		for _, command := range faultmatrix.Commands() {
			fmt.Println(command)
		}
	default:
		proved, impossible, open := faultmatrix.Counts()
		fmt.Printf("fault matrix: %d cells, %d proved, %d impossible, %d not proved\n", proved+impossible+open, proved, impossible, open)
	}
}
