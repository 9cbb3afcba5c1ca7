package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

const (
	minSecretLength = 16
	tokenHashLength = 64
)

type checker struct{ errs catalog.Errors }

func (c *checker) fail(path, format string, args ...any) {
	c.errs = append(c.errs, catalog.FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Validate checks all settings and returns every violation as catalog.Errors, or
// nil.
func (s *Settings) Validate() error {
	c := &checker{}
	c.notEmpty("instance", s.Instance)
	c.notEmpty("data_centre", s.DataCentre)
	c.address("caller_listen", s.CallerListen)
	c.address("admin_listen", s.AdminListen)
	c.address("peer_listen", s.PeerListen)
	if s.PeerAddress != "" {
		c.address("peer_address", s.PeerAddress)
	}
	for i, peer := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.secrets(s)
	c.platform(s)
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		c.fail("log_level", "must be \"debug\", \"info\", \"warn\" or \"error\"")
	}
	c.number("max_header_bytes", s.MaxHeaderBytes, 1<<10, 1<<20)
	c.number("max_connections", s.MaxConnections, 1, 1_000_000)
	c.number("body_memory_mb", s.BodyMemoryMB, 16, 65_536)
	if s.MemoryMB != 0 && s.MemoryMB < 2*s.BodyMemoryMB {
		c.fail("memory_mb", "must be 0 or at least twice body_memory_mb (%d)", s.BodyMemoryMB)
	}
	c.number("queue_limit", s.QueueLimit, 1, 100_000)
	c.duration("drain_delay", s.DrainDelay, 0, 5*time.Minute)
	c.duration("drain_timeout", s.DrainTimeout, time.Second, time.Hour)
	c.duration("list_lag", s.ListLag, time.Second, 10*time.Minute)
	c.duration("stale_after", s.StaleAfter, 2*time.Second, 7*time.Second)
	c.duration("poll_interval", s.PollInterval, 100*time.Millisecond, 5*time.Second)
	if s.PollInterval >= s.StaleAfter {
		c.fail("poll_interval", "must be below stale_after (%s)", s.StaleAfter.Std())
	}
	if len(c.errs) > 0 {
		return c.errs
	}
	return nil
}

func (c *checker) secrets(s *Settings) {
	if _, err := hex.DecodeString(s.AdminTokenHash); err != nil || len(s.AdminTokenHash) != tokenHashLength {
		c.fail("admin_token_hash", "must be a SHA-256 in lower-case hexadecimal")
	}
	if len(s.PeerSecret) < minSecretLength {
		c.fail("peer_secret", "must have at least %d characters", minSecretLength)
	}
}

func (c *checker) platform(s *Settings) {
	p := s.Platform
	c.notEmpty("platform.access_key", p.AccessKey)
	c.notEmpty("platform.secret_key", p.SecretKey)
	c.notEmpty("platform.region", p.Region)
	c.baseURL("platform.table", p.Table)
	c.baseURL("platform.objects", p.Objects)
	if p.Instances != "" || len(s.Peers) == 0 {
		c.baseURL("platform.instances", p.Instances)
	}
	if p.UpstreamService != "" && p.Instances == "" {
		c.fail("platform.upstream_service", "needs platform.instances")
	}
	if p.Weights != "" {
		c.baseURL("platform.weights", p.Weights)
	}
}

func (c *checker) notEmpty(path, value string) {
	if value == "" {
		c.fail(path, "must not be empty")
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, "must be an IP address and port, not %q", value)
	}
}

func (c *checker) baseURL(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail(path, "must be an http or https URL, not %q", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fail(path, "must name its host by IP address and port, not %q", u.Host)
	}
}

func (c *checker) number(path string, value, low, high int) {
	if value < low || value > high {
		c.fail(path, "must be between %d and %d", low, high)
	}
}

func (c *checker) duration(path string, value duration.Duration, low, high time.Duration) {
	if d := value.Std(); d < low || d > high {
		c.fail(path, "must be between %s and %s", low, high)
	}
}
