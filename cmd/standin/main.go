// Command standin runs a stand-in for an external system, for tests and development.
package main

import (
	"context"
	"os"

	"github.com/hibiscusyard/hibiscusyard/standin/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
