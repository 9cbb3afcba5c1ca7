// Package settings reads the JSON settings of the daemon.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

// Settings configures one instance. Addresses are IP addresses with a port.
type Settings struct {
	// Instance is the unique name of the instance. Required.
	Instance string `json:"instance"`
	// DataCentre is the name of the data centre in which the instance runs. Required.
	DataCentre string `json:"data_centre"`
	// CallerListen is the address for callers. Required; port 0 lets the system choose.
	CallerListen string `json:"caller_listen"`
	// AdminListen is the address of the administration API and the metrics. Required.
	AdminListen string `json:"admin_listen"`
	// PeerListen is the address for other instances. Required.
	PeerListen string `json:"peer_listen"`
	// PeerAddress is the address that other instances connect to. Default: the bound PeerListen address.
	PeerAddress string `json:"peer_address,omitempty"`
	// Peers lists peer addresses of other instances. Default empty: the platform's list is used.
	Peers []string `json:"peers,omitempty"`
	// AdminTokenHash is the SHA-256 of the administration token in lower-case hexadecimal. Required.
	AdminTokenHash string `json:"admin_token_hash"`
	// PeerSecret authenticates instances to each other, at least 16 characters. Required.
	PeerSecret string `json:"peer_secret"`
	// Platform configures access to the platform's services. Required.
	Platform Platform `json:"platform"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `json:"log_level,omitempty"`
	// MaxHeaderBytes bounds the headers of a request in bytes. Default 16384, range 1024 to 1048576.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MemoryMB is the memory that the process may use in MiB. A quarter of it is for callers' connections and the heads of requests. Default 0: five times BodyMemoryMB; else at least twice BodyMemoryMB.
	MemoryMB int `json:"memory_mb,omitempty"`
	// MaxConnections bounds the number of open caller connections; a fifth of MemoryMB with 28 KiB each, and half of the descriptors of the process less 64, bound it too. At the bound another connection is closed for a new one. Default 10000, range 1 to 1000000.
	MaxConnections int `json:"max_connections,omitempty"`
	// BodyMemoryMB bounds the memory for admitted requests, with their heads, bodies and buffered responses, in MiB. Default 256, range 16 to 65536. A single request is accepted in any case.
	BodyMemoryMB int `json:"body_memory_mb,omitempty"`
	// QueueLimit bounds the requests queued at this instance. Default 2000, range 1 to 100000.
	QueueLimit int `json:"queue_limit,omitempty"`
	// DrainDelay is the time at shutdown between reporting not ready and closing the first listener. Default 5s, range 0s to 5m.
	DrainDelay duration.Duration `json:"drain_delay,omitempty"`
	// DrainTimeout bounds the wait for requests in flight at shutdown. Default 2m, range 1s to 1h. Not below the longest route timeout in use.
	DrainTimeout duration.Duration `json:"drain_timeout,omitempty"`
	// ListLag is the longest delay with which the platform's instance list shows a change. Default 30s, range 1s to 10m.
	ListLag duration.Duration `json:"list_lag,omitempty"`
	// StaleAfter is the age of the catalogue above which requests with a key are refused. Default 6s, range 2s to 7s.
	StaleAfter duration.Duration `json:"stale_after,omitempty"`
	// PollInterval is the time between reads of the catalogue row. Default 1s, range 100ms to 5s. Below StaleAfter.
	PollInterval duration.Duration `json:"poll_interval,omitempty"`
}

// Platform configures access to the platform's services.
type Platform struct {
	// Region is the region used in request signatures. Default "local".
	Region string `json:"region,omitempty"`
	// AccessKey and SecretKey sign requests. Required.
	AccessKey string `json:"access_key"`
	SecretKey string `json:"secret_key"`
	// Table is the base URL of the DynamoDB-compatible table service. Required.
	Table string `json:"table"`
	// TableName is the name of the table. Default "hibiscusyard".
	TableName string `json:"table_name,omitempty"`
	// Objects is the base URL of the S3-compatible object store. Required.
	Objects string `json:"objects"`
	// Bucket is the bucket for the objects of the instances. Default "hibiscusyard".
	Bucket string `json:"bucket,omitempty"`
	// Instances is the base URL of the Cloud-Map-compatible instance list. Required unless Peers is set.
	Instances string `json:"instances,omitempty"`
	// Namespace and Service identify the entry instances in the list. Defaults "hibiscusyard" and "entry".
	Namespace string `json:"namespace,omitempty"`
	Service   string `json:"service,omitempty"`
	// UpstreamService identifies the upstreams in the list; those in state "leaving" receive no new requests. Default empty: upstreams are removed only by edits.
	UpstreamService string `json:"upstream_service,omitempty"`
	// Weights is the base URL of the S3-compatible weight store. Empty: checkpoint sizes are not checked.
	Weights string `json:"weights,omitempty"`
	// WeightsBucket is the bucket of the checkpoints. Default "weights".
	WeightsBucket string `json:"weights_bucket,omitempty"`
}

// Default returns the default values of the optional settings.
func Default() Settings {
	return Settings{
		LogLevel:       "info",
		MaxHeaderBytes: 16 << 10,
		MaxConnections: 10_000,
		BodyMemoryMB:   256,
		QueueLimit:     2_000,
		DrainDelay:     duration.Duration(5 * time.Second),
		DrainTimeout:   duration.Duration(2 * time.Minute),
		ListLag:        duration.Duration(30 * time.Second),
		StaleAfter:     duration.Duration(6 * time.Second),
		PollInterval:   duration.Duration(time.Second),
		Platform: Platform{
			Region: "local", TableName: "hibiscusyard", Bucket: "hibiscusyard",
			Namespace: "hibiscusyard", Service: "entry", WeightsBucket: "weights",
		},
	}
}

// machineFactor is the multiple of BodyMemoryMB that a process may use in all.
const machineFactor = 5

// MemoryBytes returns the memory that the process may use.
func (s *Settings) MemoryBytes() int64 {
	if s.MemoryMB > 0 {
		return int64(s.MemoryMB) << 20
	}
	return machineFactor * int64(s.BodyMemoryMB) << 20
}

// Load decodes settings strictly over the defaults and validates them.
func Load(data []byte) (*Settings, error) {
	s := Default()
	if err := strictjson.Decode(data, &s); err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// LoadFile reads a file and calls Load on its contents.
func LoadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").Wrapf(err, "read settings")
	}
	s, err := Load(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
