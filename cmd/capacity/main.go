// Command capacity prints how the cost of each component grows with the size of the
// system.
package main

import (
	"os"

	"github.com/hibiscusyard/hibiscusyard/tools/capacity"
)

func main() { os.Exit(capacity.Run(os.Args[1:], os.Stdout, os.Stderr)) }
