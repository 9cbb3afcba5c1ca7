// Command hibiscusyard-emulator runs the product against an emulated platform and
// applies load and faults to it.
package main

import (
	"os"

	"github.com/hibiscusyard/hibiscusyard/tools/emulator"
)

func main() { os.Exit(emulator.Main(os.Args[1:], os.Stdout, os.Stderr)) }
