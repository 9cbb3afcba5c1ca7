package placement

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Demand is what one instance reports about one model and workspace. A report
// of an instance replaces its earlier report; an instance with any demand
// repeats its report at least every Config.ReportEvery.
type Demand struct {
	Pool      string `cbor:"p"`
	Model     string `cbor:"m"`
	Workspace string `cbor:"w"`
	// Waiting is the number of requests that wait for a replica.
	Waiting int `cbor:"n,omitempty"`
	// Deadline is the time left to the earliest deadline of the waiting requests.
	Deadline time.Duration `cbor:"d,omitempty"`
	// Latest is the time left to the latest deadline of the waiting requests. A
	// load that is too late for some of them still serves the others. Default
	// Deadline.
	Latest time.Duration `cbor:"l,omitempty"`
	// Arrivals is the number of requests that arrived since the last report,
	// served or not. It feeds the arrival history of the unload rule.
	Arrivals int `cbor:"a,omitempty"`
	// Running lists the requests in flight by upstream.
	Running []UpstreamUsage `cbor:"r,omitempty"`
}

// UpstreamUsage is the number of requests in flight at one upstream.
type UpstreamUsage struct {
	Upstream string `cbor:"u"`
	Count    int    `cbor:"n"`
}

// View is the placement state that the placer publishes to all instances.
// Durations are relative to when the view was built.
type View struct {
	// Token is the fencing token of the placer and Seq counts its views.
	Token     uint64         `cbor:"t"`
	Seq       uint64         `cbor:"s"`
	Models    []ModelView    `cbor:"m,omitempty"`
	Upstreams []UpstreamView `cbor:"u,omitempty"`
}

// ModelView lists the upstreams on which a model is ready or loading. Models
// without replicas and without demand are left out.
type ModelView struct {
	Pool  string `cbor:"p"`
	Model string `cbor:"m"`
	// Ready lists the replicas that take new work.
	Ready []ReadyReplica `cbor:"r,omitempty"`
	// Loading lists the loads in progress.
	Loading []LoadingReplica `cbor:"l,omitempty"`
	// Expected is the time until the first replica is expected to be ready, set
	// while there is none; 0 means unknown.
	Expected time.Duration `cbor:"e,omitempty"`
	// RetryAfter is set if no load can be complete before the earliest reported
	// deadline: a request whose deadline is earlier is refused with this retry
	// time.
	RetryAfter time.Duration `cbor:"a,omitempty"`
}

// ReadyReplica is a loaded replica.
type ReadyReplica struct {
	Upstream    string `cbor:"u"`
	Incarnation string `cbor:"i"`
}

// LoadingReplica is a load in progress.
type LoadingReplica struct {
	Upstream string `cbor:"u"`
	// Expected is the time until the load is expected to be complete.
	Expected time.Duration `cbor:"e"`
}

// UpstreamView is the state of one upstream that takes work.
type UpstreamView struct {
	Pool        string `cbor:"p"`
	Upstream    string `cbor:"u"`
	Incarnation string `cbor:"i"`
	// Limit is the maximum number of requests in flight over all instances.
	Limit int `cbor:"l"`
	// RampLeft is the time until Limit reaches the upstream's concurrency.
	RampLeft time.Duration `cbor:"f,omitempty"`
	// Limited is set if instances may use no more than their allotments below:
	// while the upstream ramps up and while the backlog exceeds Limit.
	Limited bool `cbor:"b,omitempty"`
	// Allotments is each instance's part of Limit.
	Allotments map[string]int `cbor:"a,omitempty"`
}

// Newer reports whether v replaces old.
func (v View) Newer(old View) bool {
	return v.Token > old.Token || v.Token == old.Token && v.Seq > old.Seq
}

// Same reports whether two views of one placer have the same content. Most demand
// reports do not change the view.
func (v View) Same(old View) bool {
	return v.Token == old.Token && slices.EqualFunc(v.Models, old.Models, ModelView.same) &&
		slices.EqualFunc(v.Upstreams, old.Upstreams, UpstreamView.same)
}

func (m ModelView) same(old ModelView) bool {
	return m.Pool == old.Pool && m.Model == old.Model && m.Expected == old.Expected && m.RetryAfter == old.RetryAfter &&
		slices.Equal(m.Ready, old.Ready) && slices.Equal(m.Loading, old.Loading)
}

func (u UpstreamView) same(old UpstreamView) bool {
	return u.Pool == old.Pool && u.Upstream == old.Upstream && u.Incarnation == old.Incarnation && u.Limit == old.Limit &&
		u.RampLeft == old.RampLeft && u.Limited == old.Limited && maps.Equal(u.Allotments, old.Allotments)
}

// For returns the view with only the instance's own allotments.
func (v View) For(instance string) View {
	upstreams := make([]UpstreamView, len(v.Upstreams))
	for i, u := range v.Upstreams {
		if u.Limited {
			own, ok := u.Allotments[instance]
			u.Allotments = nil
			if ok {
				u.Allotments = map[string]int{instance: own}
			}
		}
		upstreams[i] = u
	}
	v.Upstreams = upstreams
	return v
}

// Row is the value of a table row "replica/<pool>/<id>".
type Row struct {
	Model       string   `json:"model"`
	Base        string   `json:"base,omitempty"`
	Upstream    string   `json:"upstream"`
	Address     string   `json:"address"`
	Incarnation string   `json:"upstream_incarnation"`
	State       RowState `json:"state"`
	Token       uint64   `json:"fencing_token"`
	MemoryMB    int64    `json:"memory_mb"` // weights and cache reservation
}

// RowState is the state of a replica in the table.
type RowState string

// States of a row. A row is written before the first order is sent and is kept
// until no copy can be loaded any more.
const (
	RowDecided   RowState = "decided"
	RowLoaded    RowState = "loaded"
	RowUnloading RowState = "unloading"
)

// Key returns the table key of a replica.
func Key(pool, id string) string { return "replica/" + pool + "/" + id }

// Encode returns the stored form of the row.
func (r Row) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: all fields are strings or integers
	}
	return data
}
