// Command harness runs the scripted cases of the review. Each case starts
// hibiscusyard-front as separate processes beside stand-ins of the platform, its
// workers and its consumers, and checks one rule of the users' pages by what these
// see. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// A scenario runs with or without its disruption and returns what broke the rule, or
// nothing.
type scenario func(s *system, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO FOLDER")
		os.Exit(2)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(c scenario, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSystem(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	s.note("trouble: %v", trouble)
	broken, err := c(s, trouble)
	switch {
	case err != nil:
		s.result("could not run: %v", err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			s.result("BROKEN %s", b)
		}
		return 1
	}
	s.result("the rule held")
	return 0
}
