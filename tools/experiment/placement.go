package experiment

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
)

// Placement is the subcommand "placement".
type Placement struct {
	Days        int           `long:"days" default:"3" description:"days of arrivals"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the traces"`
	Deployment  string        `long:"deployment" default:"AB" description:"A, B or AB"`
	IdleTimeout time.Duration `long:"idle-timeout" default:"5m" description:"timeout of the fixed idle timeout baseline"`
	Parallel    int           `long:"parallel" default:"4" description:"runs at the same time"`
	out         io.Writer
}

type policy struct {
	name string
	cfg  placement.Config
}

func (c *Placement) policies() []policy {
	fixed := placement.Config{Unload: placement.UnloadFixed, IdleTimeout: c.IdleTimeout}
	all := fixed
	all.Order, all.Place = placement.OrderFirstCome, placement.PlaceRandom
	return []policy{
		{"this", placement.Config{}},
		{"fixed idle timeout", fixed},
		{"first-come loads", placement.Config{Order: placement.OrderFirstCome}},
		{"random placement", placement.Config{Place: placement.PlaceRandom}},
		{"all baselines", all},
	}
}

// Execute runs the experiment; go-flags calls it.
func (c *Placement) Execute([]string) error {
	if c.out == nil {
		c.out = os.Stdout
	}
	for _, d := range Deployments {
		if !contains(c.Deployment, d.Name) {
			continue
		}
		if err := c.compare(d); err != nil {
			return err
		}
	}
	return nil
}

func contains(names, name string) bool {
	for _, r := range names {
		if string(r) == name {
			return true
		}
	}
	return false
}

func (c *Placement) compare(d Deployment) error {
	t := newTrace(d, c.Days, c.Seed)
	policies := c.policies()
	runs := make([]*run, len(policies))
	var group errgroup.Group
	group.SetLimit(max(c.Parallel, 1))
	for i, p := range policies {
		group.Go(func() error {
			runs[i] = simulate(t, d, p.cfg, c.Days, c.Seed)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "deployment %s: %d models, %d adapters, %d workers, %d days, seed %d, %d requests\n",
		d.Name, d.Models, d.Adapters, d.Workers, c.Days, c.Seed, len(t.requests))
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\twaited\tcold p50\tp95\tp99\tidle acc h\theld acc h\tloads\trefused\tmissed\tworst served\tworst p99\tDC out: served\trefused\tmissed\tp99")
	for i, p := range policies {
		x := runs[i]
		name, worst := x.worst()
		slowest := x.slowest()
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%.1f\t%.1f\t%d\t%d\t%d\t%s %.2f%%\t%s %s\t%.2f%%\t%d\t%d\t%s\n", p.name,
			x.all.coldWaits.TotalCount(), quantile(x.all.coldWaits, 50), quantile(x.all.coldWaits, 95), quantile(x.all.coldWaits, 99),
			x.idle.Hours(), x.held.Hours(), x.w.LoadsBegun, x.all.refused, x.all.missed,
			name, 100*worst.servedFirst(), slowest, quantile(x.byWorkspace[slowest].coldWaits, 99),
			100*x.duringOutage.servedFirst(), x.duringOutage.refused, x.duringOutage.missed, quantile(x.duringOutage.coldWaits, 99))
		if len(x.violations) > 0 {
			return fmt.Errorf("policy %q violated an invariant: %v", p.name, x.violations)
		}
	}
	return table.Flush()
}

// worst returns the workspace with the smallest share of requests served at the
// first attempt.
func (x *run) worst() (string, *outcome) {
	name := workspaces[0].name
	for _, w := range workspaces {
		if x.byWorkspace[w.name].servedFirst() < x.byWorkspace[name].servedFirst() {
			name = w.name
		}
	}
	return name, x.byWorkspace[name]
}

// slowest returns the workspace with the highest 99th percentile of the waiting
// time.
func (x *run) slowest() string {
	name := workspaces[0].name
	for _, w := range workspaces {
		if x.byWorkspace[w.name].coldWaits.ValueAtQuantile(99) > x.byWorkspace[name].coldWaits.ValueAtQuantile(99) {
			name = w.name
		}
	}
	return name
}

func quantile(h *hdrhistogram.Histogram, q float64) string {
	return fmt.Sprintf("%.2fs", (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds())
}
