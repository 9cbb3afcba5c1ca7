// Command hibiscusyard runs and administers an instance of the serving system.
package main

import (
	"os"

	"github.com/hibiscusyard/hibiscusyard/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
