package node

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

// Settings configures one instance on the users' platform. The platform generates
// them from the template deploy/settings.json.
type Settings struct {
	// Instance is the unique name of the machine. Required.
	Instance string `json:"instance"`
	// DataCentre is the data centre of the machine. Required.
	DataCentre string `json:"data_centre"`
	// CallerListen is the address for callers. Required.
	CallerListen string `json:"caller_listen"`
	// ReadyListen is the address of the readiness endpoint for the platform. Required.
	ReadyListen string `json:"ready_listen"`
	// PeerListen is the address for other instances. Required.
	PeerListen string `json:"peer_listen"`
	// MetricsListen is the address of the metrics endpoint. Required.
	MetricsListen string `json:"metrics_listen"`
	// Store is the address of the platform's store. Required.
	Store string `json:"store"`
	// MemoryMB is the memory that the process may use, in MB. Required.
	MemoryMB float64 `json:"memory_mb"`
	// CPUShare is the share of a CPU that the machine has. Required.
	CPUShare float64 `json:"cpu_share"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s. Required.
	LinkMbps float64 `json:"link_mbps"`
	// MaxConnections is the largest number of callers' connections at a time. Default 0: as
	// many as fit in a fifth of MemoryMB with 28 KiB each, and in half of the descriptors
	// of the process less 64; at least 16.
	MaxConnections int `json:"max_connections"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `json:"log_level"`
	// StoreParallel is the initial limit of a leader on concurrent loads from the
	// weight store; the limit then adapts to how long loads take. Default 4.
	StoreParallel int `json:"store_parallel"`
	// Duties are the calls to the platform's API that the leader makes. Default none.
	Duties Duties `json:"duties"`
	// Bounds are the guarantees of the deployment. Required.
	Bounds Bounds `json:"bounds"`

	// WallClock returns the wall-clock time, for tests. Default time.Now.
	WallClock func() time.Time `json:"-"`
}

// Duties configures the calls to the platform's API that one instance makes on behalf of
// all.
type Duties struct {
	// Address is the address of the API. Empty: no duties.
	Address string `json:"address"`
	// List has the enabled duties, "usage_reporting" and "autoscaling"; one element may
	// have several, separated by commas. Default none.
	List []string `json:"list"`
	// CallsPerS is the number of calls a second that the API accepts from all instances
	// together. Default 50.
	CallsPerS float64 `json:"calls_per_s"`
}

// enabled returns the names of the enabled duties.
func (d *Duties) enabled() []string {
	var names []string
	if d.Address == "" {
		return nil
	}
	for _, element := range d.List {
		for name := range strings.SplitSeq(element, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, name)
			}
		}
	}
	return names
}

// Machines below either threshold count as weak: leading 85 instances took 0.13 of
// a CPU and several Mbit/s.
const (
	weakCPUShare = 0.3
	weakLinkMbps = 50
)

// Weak reports whether the machine is weak, so that another instance should lead
// if there is one.
func (s *Settings) Weak() bool { return s.CPUShare < weakCPUShare || s.LinkMbps < weakLinkMbps }

// Bounds are the guarantees of the deployment from which time-outs and limits are
// derived.
type Bounds struct {
	// RevokeMS is the time after which a withdrawn key must no longer be accepted,
	// in milliseconds.
	RevokeMS float64 `json:"revoke_ms"`
	// DrainMS is the time after which a leaving upstream must get no new requests,
	// in milliseconds.
	DrainMS float64 `json:"drain_ms"`
	// ConfigurationMS is the time within which a new desired state must be in force,
	// in milliseconds.
	ConfigurationMS float64 `json:"configuration_ms"`
	// GraceS is the time from SIGTERM to SIGKILL, in seconds.
	GraceS float64 `json:"grace_s"`
	// LeaseMS is the period within which two instances must not both give orders, in
	// milliseconds.
	LeaseMS float64 `json:"lease_ms"`
	// BudgetRatio, BudgetSlack and BudgetWindowS limit the retries of all instances
	// together: a share of the requests, plus a number of retries, per window in
	// seconds.
	BudgetRatio   float64 `json:"budget_ratio"`
	BudgetSlack   float64 `json:"budget_slack"`
	BudgetWindowS float64 `json:"budget_window_s"`
	// QuotaWindowS, QuotaOverage and QuotaSlack limit how far workspaces may exceed
	// their token limits: the window in seconds, a share of the limit, plus a number
	// of tokens.
	QuotaWindowS float64 `json:"quota_window_s"`
	QuotaOverage float64 `json:"quota_overage"`
	QuotaSlack   float64 `json:"quota_slack"`
	// UsageWindowS is the length of the windows of usage reports, and UsageLateS the time
	// after the end of a window at which its report is due, in seconds. Without a window
	// there are no usage reports.
	UsageWindowS float64 `json:"usage_window_s"`
	UsageLateS   float64 `json:"usage_late_s"`
}

// memoryBytes returns the memory that the process may use.
func (s *Settings) memoryBytes() int64 { return int64(s.MemoryMB * (1 << 20)) }

// maxConnections returns the limit on callers' connections.
func (s *Settings) maxConnections() int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	return request.MaxConnections(s.memoryBytes())
}

// wallTime returns the wall-clock time since the start of 1970.
func (s *Settings) wallTime() time.Duration {
	now := time.Now
	if s.WallClock != nil {
		now = s.WallClock
	}
	return time.Duration(now().UnixNano())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("settings").Wrapf(err, "read settings")
	}
	s, err := ParseSettings(data)
	if err != nil {
		return s, oops.In("settings").Wrapf(err, "%s", path)
	}
	return s, nil
}

// ParseSettings decodes and validates settings. The error lists all faults found.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{LogLevel: "info", StoreParallel: 4, Duties: Duties{CallsPerS: 50}}
	if err := strictjson.Decode(data, &s); err != nil {
		return s, err
	}
	c := strictjson.NewChecker(data)
	s.check(c)
	return s, c.Err()
}

func (s *Settings) check(c *strictjson.Checker) {
	for field, value := range map[string]string{"instance": s.Instance, "data_centre": s.DataCentre} {
		if value == "" {
			c.Fail(field, "must be set")
		}
	}
	for field, value := range map[string]string{
		"caller_listen": s.CallerListen, "ready_listen": s.ReadyListen, "peer_listen": s.PeerListen,
		"metrics_listen": s.MetricsListen, "store": s.Store,
	} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			c.Fail(field, "must be an IP address with a port, not %q", value)
		}
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.Fail("log_level", "unknown level %q", s.LogLevel)
	}
	if s.Duties.Address != "" {
		if _, err := netip.ParseAddrPort(s.Duties.Address); err != nil {
			c.Fail("duties.address", "must be an IP address with a port, not %q", s.Duties.Address)
		}
		if !(s.Duties.CallsPerS > 0) {
			c.Fail("duties.calls_per_s", "must be above 0")
		}
	}
	if s.MaxConnections < 0 {
		c.Fail("max_connections", "must not be negative")
	}
	if s.StoreParallel < 1 {
		c.Fail("store_parallel", "must be at least 1")
	}
	for field, value := range map[string]float64{
		"memory_mb": s.MemoryMB, "cpu_share": s.CPUShare, "link_mbps": s.LinkMbps, "bounds.revoke_ms": s.Bounds.RevokeMS, "bounds.grace_s": s.Bounds.GraceS,
		"bounds.drain_ms": s.Bounds.DrainMS, "bounds.configuration_ms": s.Bounds.ConfigurationMS,
		"bounds.lease_ms": s.Bounds.LeaseMS, "bounds.budget_window_s": s.Bounds.BudgetWindowS,
		"bounds.quota_window_s": s.Bounds.QuotaWindowS,
	} {
		if !(value > 0) {
			c.Fail(field, "must be above 0")
		}
	}
	for field, value := range map[string]float64{
		"bounds.budget_ratio": s.Bounds.BudgetRatio, "bounds.budget_slack": s.Bounds.BudgetSlack,
		"bounds.quota_overage": s.Bounds.QuotaOverage, "bounds.quota_slack": s.Bounds.QuotaSlack,
		"bounds.usage_window_s": s.Bounds.UsageWindowS, "bounds.usage_late_s": s.Bounds.UsageLateS,
	} {
		if !(value >= 0) {
			c.Fail(field, "must not be negative")
		}
	}
}
