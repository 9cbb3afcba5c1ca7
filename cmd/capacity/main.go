// Command capacity prints how the costs of the parts grow with the sizes of
// the system.
package main

import (
	"os"

	"github.com/hibiscusyard/hibiscusyard/tools/capacity"
)

func main() { os.Exit(capacity.Run(os.Args[1:], os.Stdout, os.Stderr)) }
