// Package instances provides a stand-in for a service registry behind the AWS
// Cloud Map API (DiscoverInstances). Registrations are made through a control
// endpoint and become visible after a lag.
package instances

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
	"github.com/hibiscusyard/hibiscusyard/standin"
)

const (
	contentType = "application/x-amz-json-1.1"
	opDiscover  = "Route53AutoNaming_v20170314.DiscoverInstances"
)

// Registration is one registered instance.
type Registration struct {
	ID          string `json:"id"`
	IP          string `json:"ip"`
	Port        int    `json:"port"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation,omitempty"`
	// Service is the name of the service that the instance belongs to. Default: Config.Service.
	Service string `json:"service,omitempty"`
	// State is "live" or "leaving". Default "live".
	State string `json:"state,omitempty"`
}

// Config configures an instance list.
type Config struct {
	// Namespace and Service are the names that requests may refer to. Default "hibiscusyard" and "entry".
	Namespace, Service string
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// Instances is a stand-in for an instance list. It is safe for concurrent use.
type Instances struct {
	*standin.Gate
	config Config

	mu      sync.Mutex
	current map[string]Registration
	visible *standin.Lagged[map[string]Registration]
	reads   int64
}

// Counts holds the counters and the registrations of an instance list.
type Counts struct {
	standin.Counts
	Reads      int64          `json:"reads"`
	Registered []Registration `json:"registered"`
}

// New returns an empty instance list.
func New(c Config) *Instances {
	if c.Namespace == "" {
		c.Namespace = "hibiscusyard"
	}
	if c.Service == "" {
		c.Service = "entry"
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	l := &Instances{config: c, current: map[string]Registration{}}
	l.visible = standin.NewLagged(map[string]Registration{})
	l.Gate = standin.NewGate(standin.Protocol{
		Throttled: func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, http.StatusBadRequest, "RequestLimitExceeded", "rate exceeded")
		},
		Failed: func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, http.StatusInternalServerError, "InternalFailure", "internal failure")
		},
		Effect: func(*http.Request) bool { return false },
	}, http.HandlerFunc(l.serve), func() any { return l.State() })
	l.HandleControl("PUT /control/instances", l.putInstance)
	l.HandleControl("DELETE /control/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.Deregister(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	return l
}

// Register adds or replaces an instance.
func (l *Instances) Register(r Registration) {
	if r.State == "" {
		r.State = "live"
	}
	if r.Service == "" {
		r.Service = l.config.Service
	}
	l.update(func(m map[string]Registration) { m[r.ID] = r })
}

// Deregister removes an instance.
func (l *Instances) Deregister(id string) {
	l.update(func(m map[string]Registration) { delete(m, id) })
}

func (l *Instances) update(modify func(map[string]Registration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.current)
	modify(next)
	l.current = next
	l.visible.Set(l.config.Now(), next)
}

// State returns the counters and the current registrations, regardless of the lag.
func (l *Instances) State() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Counts: l.Gate.Counts(), Reads: l.reads, Registered: sorted(l.current)}
}

func sorted(m map[string]Registration) []Registration {
	list := slices.Collect(maps.Values(m))
	slices.SortFunc(list, func(a, b Registration) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (l *Instances) putInstance(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var reg Registration
	if err == nil {
		err = strictjson.Decode(data, &reg)
	}
	if err != nil || reg.ID == "" {
		http.Error(w, "a registration with an id is required", http.StatusBadRequest)
		return
	}
	l.Register(reg)
	w.WriteHeader(http.StatusNoContent)
}

type apiError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	standin.WriteJSON(w, contentType, status, apiError{code, message})
}

type discoverInput struct {
	NamespaceName, ServiceName, HealthStatus string
	MaxResults                               *int
}

type discoverOutput struct {
	Instances         []summary
	InstancesRevision int64
}

type summary struct {
	InstanceId, NamespaceName, ServiceName, HealthStatus string
	Attributes                                           map[string]string
}

// defaultMaxResults is the maximum number of instances in a response if the
// request does not set MaxResults.
const defaultMaxResults = 100

func (l *Instances) serve(w http.ResponseWriter, r *http.Request) {
	if op := r.Header.Get("X-Amz-Target"); op != opDiscover {
		writeError(w, http.StatusBadRequest, "UnknownOperationException", op)
		return
	}
	var in discoverInput
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, http.StatusBadRequest, "SerializationException", err.Error())
		return
	}
	if in.NamespaceName != l.config.Namespace {
		writeError(w, http.StatusBadRequest, "NamespaceNotFound", in.NamespaceName)
		return
	}
	if in.ServiceName != l.config.Service && !l.hasInstances(in.ServiceName) {
		writeError(w, http.StatusBadRequest, "ServiceNotFound", in.ServiceName)
		return
	}
	standin.WriteJSON(w, contentType, http.StatusOK, l.discover(in))
}

// hasInstances reports whether any instance is registered under the service.
func (l *Instances) hasInstances(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.current {
		if r.Service == service {
			return true
		}
	}
	return false
}

func (l *Instances) discover(in discoverInput) discoverOutput {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	limit := defaultMaxResults
	if in.MaxResults != nil {
		limit = *in.MaxResults
	}
	out := discoverOutput{Instances: []summary{}}
	for _, reg := range sorted(l.visible.Get(l.config.Now(), l.Faults().ListLag.Std())) {
		if reg.Service != in.ServiceName {
			continue
		}
		if len(out.Instances) == limit {
			break
		}
		out.Instances = append(out.Instances, summary{
			InstanceId: reg.ID, NamespaceName: in.NamespaceName, ServiceName: in.ServiceName, HealthStatus: "HEALTHY",
			Attributes: map[string]string{
				"AWS_INSTANCE_IPV4": reg.IP, "AWS_INSTANCE_PORT": strconv.Itoa(reg.Port),
				"data_centre": reg.DataCentre, "incarnation": reg.Incarnation, "state": reg.State,
			},
		})
	}
	return out
}
