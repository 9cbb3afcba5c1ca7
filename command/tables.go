package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

// tokenVariable is the environment variable for the administration token, which
// keeps the token off the command line.
const tokenVariable = "HIBISCUSYARD_ADMIN_TOKEN"

type connection struct {
	streams
	Admin     string `short:"a" long:"admin" value-name:"URL" required:"yes" description:"administration address of any instance, such as http://127.0.0.1:7001"`
	TokenFile string `long:"token-file" value-name:"FILE" description:"file with the administration token; default: the variable HIBISCUSYARD_ADMIN_TOKEN"`
}

func (c *connection) client() (*admin.Client, error) {
	token := os.Getenv(tokenVariable)
	if c.TokenFile != "" {
		data, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return nil, oops.In("command").Wrap(err)
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, fmt.Errorf("%w: set %s or --token-file", cli.ErrUsage, tokenVariable)
	}
	return &admin.Client{Base: strings.TrimSuffix(c.Admin, "/"), Token: token}, nil
}

// get returns the document of a table and its version.
func (c *connection) get(table string) (document []byte, version uint64, err error) {
	client, err := c.client()
	if err != nil {
		return nil, 0, err
	}
	return client.Get(context.Background(), table)
}

type tableCommands struct {
	Get  getCommand  `command:"get" description:"Print the table; its version goes to standard error"`
	Put  putCommand  `command:"put" description:"Replace the table with a file"`
	Diff diffCommand `command:"diff" description:"Show what a file would change"`
	List listCommand `command:"list" description:"List the entries, a line each"`
}

func (t *tableCommands) bind(table string, s streams) {
	t.Get.table, t.Put.table, t.Diff.table, t.List.table = table, table, table, table
	t.Get.streams, t.Put.streams, t.Diff.streams, t.List.streams = s, s, s, s
}

type getCommand struct {
	connection
	table string
}

func (c *getCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	document, version, err := c.get(c.table)
	if err != nil {
		return err
	}
	c.out.Write(document) //nolint:errcheck // a failed write to standard output is ignored.
	fmt.Fprintf(c.err, "version %d\n", version)
	return nil
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"JSON document of the table, - for standard input"`
}

func (a fileArgument) read() ([]byte, error) {
	if a.File == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		return nil, oops.In("command").Wrap(err)
	}
	return data, nil
}

type putCommand struct {
	connection
	table string
	Base  *uint64      `short:"b" long:"base" value-name:"VERSION" description:"version that the edit is based on; default: the current one"`
	Args  fileArgument `positional-args:"yes" required:"yes"`
}

func (c *putCommand) Execute([]string) error {
	data, err := c.Args.read()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	base := c.Base
	if base == nil {
		_, current, err := client.Get(ctx, c.table)
		if err != nil {
			return err
		}
		base = &current
	}
	result, err := client.Put(ctx, c.table, data, *base)
	if err != nil {
		return err
	}
	if !result.Accepted {
		return fmt.Errorf("version %d is committed but not yet confirmed by a majority; missing: %s",
			result.Version, strings.Join(result.Missing, ", "))
	}
	fmt.Fprintf(c.out, "version %d accepted\n", result.Version)
	return nil
}

type diffCommand struct {
	connection
	table string
	Args  fileArgument `positional-args:"yes" required:"yes"`
}

func (c *diffCommand) Execute([]string) error {
	data, err := c.Args.read()
	if err != nil {
		return err
	}
	document, version, err := c.get(c.table)
	if err != nil {
		return err
	}
	before, err := decodeEntries(c.table, document)
	if err != nil {
		return err
	}
	after, err := decodeEntries(c.table, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "against version %d\n", version)
	for _, line := range diffEntries(before, after) {
		fmt.Fprintln(c.out, line)
	}
	return nil
}

// entry is one named entry of a table.
type entry struct {
	name     string
	data     []byte // indented JSON with defaults filled in
	listLine string // tab-separated line for the list command
}

// decodeEntries decodes a document of a table and fills in the defaults.
func decodeEntries(table string, document []byte) ([]entry, error) {
	var out []entry
	var c catalog.Catalog
	if table == "routes" {
		var doc admin.RoutesDocument
		if err := strictjson.Decode(document, &doc); err != nil {
			return nil, err
		}
		c.Routes = doc.Routes
	} else {
		var doc admin.PoolsDocument
		if err := strictjson.Decode(document, &doc); err != nil {
			return nil, err
		}
		c.Pools = doc.Pools
	}
	c.ApplyDefaults()
	var errs []error
	add := func(name, listLine string, v any) {
		data, err := json.MarshalIndent(v, "  ", "  ")
		errs = append(errs, err)
		out = append(out, entry{name: name, data: data, listLine: listLine})
	}
	for _, r := range c.Routes {
		add(r.Name, fmt.Sprintf("%s\t%s\t%s\t%d workspaces", r.Name, r.Pool, routeTarget(r), len(r.Workspaces)), r)
	}
	for _, p := range c.Pools {
		add(p.Name, fmt.Sprintf("%s\t%s\t%d upstreams\t%d models", p.Name, p.Kind, len(p.Upstreams), len(p.Models)), p)
	}
	return out, errors.Join(errs...)
}

func routeTarget(r catalog.Route) string {
	if r.Prefix != "" {
		return r.Prefix
	}
	return fmt.Sprintf("%d models", len(r.Models))
}

// diffEntries returns the lines that describe added, changed and removed entries.
func diffEntries(before, after []entry) []string {
	var lines []string
	old := map[string][]byte{}
	for _, e := range before {
		old[e.name] = e.data
	}
	for _, e := range after {
		previous, existed := old[e.name]
		delete(old, e.name)
		switch {
		case !existed:
			lines = append(lines, "+ "+e.name, "  "+string(e.data))
		case !bytes.Equal(previous, e.data):
			lines = append(lines, "~ "+e.name, "- "+string(previous), "+ "+string(e.data))
		}
	}
	for _, e := range before {
		if _, removed := old[e.name]; removed {
			lines = append(lines, "- "+e.name)
		}
	}
	if len(lines) == 0 {
		lines = append(lines, "no difference")
	}
	return lines
}

type listCommand struct {
	connection
	table string
}

func (c *listCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	document, _, err := c.get(c.table)
	if err != nil {
		return err
	}
	list, err := decodeEntries(c.table, document)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, e := range list {
		fmt.Fprintln(w, e.listLine)
	}
	return w.Flush()
}

type statusCommand struct{ connection }

func (c *statusCommand) Execute(args []string) error {
	if err := cli.NoArguments(args); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	return enc.Encode(status)
}
