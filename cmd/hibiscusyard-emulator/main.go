// Command hibiscusyard-emulator plays load and faults on the product in front
// of an emulated platform.
package main

import (
	"os"

	"github.com/hibiscusyard/hibiscusyard/tools/emulator"
)

func main() { os.Exit(emulator.Main(os.Args[1:], os.Stdout, os.Stderr)) }
