// Command hibiscusyard-front runs an instance on the users' platform.
package main

import (
	"os"

	"github.com/hibiscusyard/hibiscusyard/node/nodecmd"
)

func main() { os.Exit(nodecmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
