package command

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
	"github.com/hibiscusyard/hibiscusyard/settings"
)

type checkCommand struct {
	streams
	Routes        string `short:"r" long:"routes" value-name:"FILE" required:"yes" description:"routes table to check"`
	Pools         string `short:"p" long:"pools" value-name:"FILE" required:"yes" description:"pools table to check"`
	Settings      string `short:"s" long:"settings" value-name:"FILE" description:"settings of the instances, whose drain_timeout bounds the timeouts of routes"`
	Against       string `long:"against" value-name:"URL" description:"administration address of any instance; shows the differences from the version in force"`
	TokenFile     string `long:"token-file" value-name:"FILE" description:"file with the administration token for --against; default: the variable HIBISCUSYARD_ADMIN_TOKEN"`
	AgainstRoutes string `long:"against-routes" value-name:"FILE" description:"routes table to show the differences from, together with --against-pools"`
	AgainstPools  string `long:"against-pools" value-name:"FILE" description:"pools table to show the differences from"`
}

// inputFile is a file with a document.
type inputFile struct {
	document, path string // document is "routes", "pools" or "settings"
	data           []byte
	lines          map[string]int // line of each field by its path
	malformed      bool
}

// located is a line of output about a place in a file.
type located struct {
	path string
	line int // 0 if unknown
	text string
}

func (l located) String() string {
	if l.line == 0 {
		return l.path + ": " + l.text
	}
	return fmt.Sprintf("%s:%d: %s", l.path, l.line, l.text)
}

// Execute prints the findings, then the differences. It fails if there are
// findings; differences are none.
func (c *checkCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	if (c.AgainstRoutes == "") != (c.AgainstPools == "") || (c.Against != "" && c.AgainstRoutes != "") {
		return fmt.Errorf("%w: give either --against, or --against-routes and --against-pools, or none of them", cli.ErrUsage)
	}
	routes, errRoutes := readFile("routes", c.Routes)
	pools, errPools := readFile("pools", c.Pools)
	if err := errors.Join(errRoutes, errPools); err != nil {
		return err
	}
	drain, findings, err := c.drainTimeout()
	if err != nil {
		return err
	}
	findings = append(findings, findingsIn(routes, pools, drain)...)
	for _, f := range findings {
		fmt.Fprintln(c.out, f)
	}
	for _, file := range []*inputFile{routes, pools} {
		if err := c.printDifferences(file); err != nil {
			return err
		}
	}
	if len(findings) > 0 {
		return fmt.Errorf("findings: %d", len(findings))
	}
	return nil
}

func readFile(document, path string) (*inputFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", cli.ErrInput, err)
	}
	return &inputFile{document: document, path: path, data: data, lines: strictjson.Lines(data)}, nil
}

// drainTimeout returns the drain timeout of the settings file, 0 without one, or
// the problems of the file as findings.
func (c *checkCommand) drainTimeout() (time.Duration, []located, error) {
	if c.Settings == "" {
		return 0, nil, nil
	}
	file, err := readFile("settings", c.Settings)
	if err != nil {
		return 0, nil, err
	}
	s, err := settings.Load(file.data)
	if err == nil {
		return s.DrainTimeout.Std(), nil, nil
	}
	fields, ok := catalog.AsErrors(err)
	if !ok {
		return 0, []located{{path: file.path, text: fmt.Sprintf("%s: %v", catalog.Invalid, err)}}, nil
	}
	var list []located
	for _, f := range fields {
		list = append(list, file.locate(catalog.Finding{Class: catalog.Invalid, Path: f.Path, Message: f.Message}))
	}
	return 0, list, nil
}

// findingsIn returns the findings in both files in the order of their lines. A
// file that does not decode is a finding itself; the tables are analysed only if
// both decode.
func findingsIn(routes, pools *inputFile, drain time.Duration) []located {
	var list []located
	decode := func(f *inputFile, document any) {
		if err := strictjson.Decode(f.data, document); err != nil {
			f.malformed = true
			list = append(list, located{path: f.path, text: fmt.Sprintf("%s: %v", catalog.Invalid, err)})
		}
	}
	var routesDocument admin.RoutesDocument
	var poolsDocument admin.PoolsDocument
	decode(routes, &routesDocument)
	decode(pools, &poolsDocument)
	if routes.malformed || pools.malformed {
		return list
	}
	tables := &catalog.Catalog{Routes: routesDocument.Routes, Pools: poolsDocument.Pools}
	tables.ApplyDefaults()
	for _, f := range tables.Findings(drain) {
		file := routes
		if strings.HasPrefix(f.Path, pools.document) {
			file = pools
		}
		list = append(list, file.locate(f))
	}
	slices.SortStableFunc(list, func(a, b located) int {
		return cmp.Or(strings.Compare(a.path, b.path), cmp.Compare(a.line, b.line))
	})
	return list
}

func (f *inputFile) locate(finding catalog.Finding) located {
	return located{path: f.path, line: f.line(finding.Path), text: fmt.Sprintf("%s: %s: %s", finding.Class, finding.Path, finding.Message)}
}

// line returns the line of a field or, if the document leaves the field out, of
// the entry that it belongs to.
func (f *inputFile) line(path string) int {
	for path != "" {
		if line := f.lines[path]; line > 0 {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (c *checkCommand) printDifferences(file *inputFile) error {
	if c.Against == "" && c.AgainstRoutes == "" {
		return nil
	}
	document, source, err := c.inForce(file.document)
	if err != nil {
		return err
	}
	before, err := decodeEntries(file.document, document)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", cli.ErrInput, source, err)
	}
	if file.malformed {
		return nil
	}
	after, err := decodeEntries(file.document, file.data)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s against %s\n", file.document, source)
	for _, line := range diffEntries(before, after) {
		fmt.Fprintln(c.out, line)
	}
	return nil
}

// inForce returns the document that a table is compared with and what it is called
// in the output.
func (c *checkCommand) inForce(table string) (document []byte, source string, err error) {
	if c.Against != "" {
		in := connection{streams: c.streams, Admin: c.Against, TokenFile: c.TokenFile}
		document, version, err := in.get(table)
		if err != nil {
			return nil, "", fmt.Errorf("%w: %w", cli.ErrInput, err)
		}
		return document, fmt.Sprintf("version %d", version), nil
	}
	path := c.AgainstPools
	if table == "routes" {
		path = c.AgainstRoutes
	}
	file, err := readFile(table, path)
	if err != nil {
		return nil, "", err
	}
	return file.data, path, nil
}
