// Package command implements the command line of the stand-ins.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/engine"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/standin/objects"
	"github.com/hibiscusyard/hibiscusyard/standin/service"
	"github.com/hibiscusyard/hibiscusyard/standin/table"
)

// common holds the flags of every subcommand.
type common struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"IP address and port to listen on"`
	Faults string `long:"faults" default:"{}" description:"faults in force from the start, as JSON"`
}

func (c common) options() common { return c }

// faultInjector is a stand-in whose faults can be set.
type faultInjector interface {
	http.Handler
	SetFaults(standin.Faults)
}

// subcommand holds the flags of one kind of stand-in and builds it.
type subcommand interface {
	options() common
	build() (faultInjector, error)
}

type tableCommand struct {
	common
	Name     string `long:"name" default:"hibiscusyard" description:"table name"`
	PageSize int    `long:"page-size" default:"100" description:"items in an answer to Query"`
}

func (c *tableCommand) build() (faultInjector, error) {
	return table.New(table.Config{Name: c.Name, PageSize: c.PageSize}), nil
}

type objectsCommand struct {
	common
	Object map[string]int64 `long:"object" description:"bucket/key:bytes of an object that exists with a size only; repeatable"`
}

func (c *objectsCommand) build() (faultInjector, error) {
	o := objects.New()
	for path, size := range c.Object {
		bucket, key, ok := strings.Cut(path, "/")
		if !ok {
			return nil, fmt.Errorf("--object %q: must be bucket/key:bytes", path)
		}
		o.SetSize(bucket, key, size)
	}
	return o, nil
}

type instancesCommand struct {
	common
	Namespace string   `long:"namespace" default:"hibiscusyard" description:"namespace name"`
	Service   string   `long:"service" default:"entry" description:"service name"`
	Instance  []string `long:"instance" description:"id,ip:port,data_centre of a registered instance; repeatable"`
}

func (c *instancesCommand) build() (faultInjector, error) {
	list := instances.New(instances.Config{Namespace: c.Namespace, Service: c.Service})
	for _, text := range c.Instance {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return nil, fmt.Errorf("--instance %q: must be id,ip:port,data_centre", text)
		}
		host, port, err := net.SplitHostPort(parts[1])
		if err != nil {
			return nil, fmt.Errorf("--instance %q: %w", text, err)
		}
		n, err := strconv.Atoi(port)
		if err != nil {
			return nil, fmt.Errorf("--instance %q: %w", text, err)
		}
		list.Register(instances.Registration{ID: parts[0], IP: host, Port: n, DataCentre: parts[2]})
	}
	return list, nil
}

type engineCommand struct {
	common
	MemoryMB    int64             `long:"memory-mb" default:"16000" description:"accelerator memory in MiB"`
	Concurrency int               `long:"concurrency" default:"16" description:"chats at once"`
	Fencing     bool              `long:"fencing" description:"refuse orders with an old fencing token"`
	Model       map[string]string `long:"model" description:"name:tier of a known model, tier being memory, disk or remote; repeatable; default: every name, remote"`
	LoadMemory  time.Duration     `long:"load-memory" default:"50ms" description:"load time from memory"`
	LoadDisk    time.Duration     `long:"load-disk" default:"200ms" description:"load time from disk"`
	LoadRemote  time.Duration     `long:"load-remote" default:"500ms" description:"load time from the weight store"`
	LoadAdapter time.Duration     `long:"load-adapter" default:"10ms" description:"load time of adapters"`
	Pace        time.Duration     `long:"pace" default:"5ms" description:"time between tokens"`
	MaxTokens   int               `long:"max-tokens" default:"16" description:"length of an answer when a chat does not say"`
}

func (c *engineCommand) build() (faultInjector, error) {
	for name, tier := range c.Model {
		if tier != engine.Memory && tier != engine.Disk && tier != engine.Remote {
			return nil, fmt.Errorf("--model %s:%s: unknown tier", name, tier)
		}
	}
	return engine.New(engine.Config{
		MemoryMB: c.MemoryMB, Concurrency: c.Concurrency, Fencing: c.Fencing, Models: c.Model,
		LoadMemory: c.LoadMemory, LoadDisk: c.LoadDisk, LoadRemote: c.LoadRemote, LoadAdapter: c.LoadAdapter,
		Pace: c.Pace, MaxTokens: c.MaxTokens,
	}), nil
}

type serviceCommand struct {
	common
	Concurrency int `long:"concurrency" default:"16" description:"requests at once that full utilization means"`
}

func (c *serviceCommand) build() (faultInjector, error) {
	return service.New(service.Config{Concurrency: c.Concurrency}), nil
}

type options struct {
	Table     tableCommand     `command:"table" description:"table service (DynamoDB API)"`
	Objects   objectsCommand   `command:"objects" description:"object store (S3 API)"`
	Instances instancesCommand `command:"instances" description:"instance list (AWS Cloud Map API)"`
	Engine    engineCommand    `command:"engine" description:"model engine (Open Inference Protocol, chat API)"`
	Service   serviceCommand   `command:"service" description:"plain HTTP service"`
}

func (o *options) subcommand(name string) subcommand {
	return map[string]subcommand{
		"table": &o.Table, "objects": &o.Objects, "instances": &o.Instances, "engine": &o.Engine, "service": &o.Service,
	}[name]
}

// Run runs the command line and returns the exit code. It serves until ctx is
// done or the process receives SIGINT or SIGTERM.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	positional, err := parser.ParseArgs(args)
	if err == nil {
		err = cli.NoArguments(positional)
	}
	if err != nil {
		return cli.Exit(err, stdout, stderr)
	}
	cmd := o.subcommand(parser.Active.Name)
	handler, err := prepare(cmd)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, cmd.options().Listen, handler, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func prepare(cmd subcommand) (http.Handler, error) {
	var f standin.Faults
	if err := strictjson.Decode([]byte(cmd.options().Faults), &f); err != nil {
		return nil, fmt.Errorf("--faults: %w", err)
	}
	handler, err := cmd.build()
	if err != nil {
		return nil, err
	}
	handler.SetFaults(f)
	return handler, nil
}

// headerTimeout is the maximum time to read the headers of a request.
const headerTimeout = 10 * time.Second

// serve prints the listening address on one line and serves until ctx is done.
func serve(ctx context.Context, address string, h http.Handler, stdout io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, listener.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
