package hibiscusyard

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/controller/directory"
	"github.com/hibiscusyard/hibiscusyard/controller/placer"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/filter"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/engine"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

const (
	// reportInterval is the interval of demand reports while demand is unchanged.
	reportInterval = 3 * time.Second
	// reportDebounce delays the report after a change of demand, which bounds the
	// rate of such reports.
	reportDebounce = 20 * time.Millisecond
	// maxEmptyReports is the number of consecutive reports without demand that are
	// sent: one that ends the demand, and one in case the first was lost.
	maxEmptyReports = 2
	// sendTimeout bounds the sending of a message to a peer.
	sendTimeout = 2 * time.Second
)

// upstreamEvent notifies the placer of a broken connection to an upstream or of
// its new incarnation, as observed by a request.
type upstreamEvent struct {
	Pool        string `cbor:"1,keyasint"`
	Upstream    string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint,omitempty"` // empty after a broken connection
}

// demandReport carries the entire demand of the sending instance.
type demandReport struct {
	Demands []placement.Demand `cbor:"1,keyasint"`
}

// placementControl connects the placer and the directory of this instance with
// the other instances.
type placementControl struct {
	instance         *Instance
	directory        *directory.Directory
	placer           *placer.Placer
	done             chan struct{}
	emptyReportCount int // consecutive reports without demand; used only by reportDemand

	viewMu    sync.Mutex // serialises applyView, so that the routing filter gets views in order
	published chan placement.View
}

func newPlacementControl(i *Instance) *placementControl {
	p := &placementControl{
		instance: i, directory: directory.New(i.settings.Instance, time.Now()),
		done: make(chan struct{}), published: make(chan placement.View, 1),
	}
	i.hub.Handle(peer.KindDemand, p.handleDemand)
	i.hub.Handle(peer.KindPlacementView, p.handleView)
	i.hub.Handle(peer.KindUpstreamEvent, p.handleUpstreamEvent)
	i.catalog.OnAdopt(func(x *catalog.Index) { p.placer.SetCatalog(x) })
	return p
}

// prepare builds the placer once the peer address is known.
func (p *placementControl) prepare(address string) {
	i := p.instance
	p.placer = placer.New(i.table, engine.NewClient(), placer.Config{
		Instance: i.settings.Instance, Incarnation: i.incarnation, Address: address,
		Publish: p.publish, Log: i.log,
	})
}

// run runs the placer, which places models while this instance holds the lease,
// and reports demand to the holder of the lease.
func (p *placementControl) run(ctx context.Context) error {
	defer close(p.done)
	var parts sync.WaitGroup
	parts.Go(func() { p.placer.Run(ctx) })
	parts.Go(func() { p.broadcastViews(ctx) })
	parts.Go(func() { p.reportDemand(ctx) })
	parts.Wait()
	return nil
}

// publish queues the latest view for broadcastViews. A queued view that was not
// sent yet is replaced.
func (p *placementControl) publish(view placement.View) {
	for {
		select {
		case p.published <- view:
			return
		default:
		}
		select {
		case <-p.published:
		default:
		}
	}
}

// broadcastViews applies each view of this instance's placer and sends it to all
// connected instances.
func (p *placementControl) broadcastViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-p.published:
			p.applyView(view.For(p.instance.settings.Instance))
			for _, id := range p.instance.hub.Connected() {
				go p.notify(ctx, id.Instance, peer.KindPlacementView, view.For(id.Instance))
			}
		}
	}
}

func (p *placementControl) notify(ctx context.Context, instance string, kind peer.Kind, message any) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := p.instance.hub.Notify(ctx, instance, kind, message); err != nil {
		p.instance.log.WithError(err).WithField("peer", instance).Debug("placement message not sent")
	}
}

// applyView passes a view to the directory and, if the directory accepts it, the
// allotments to the route.
func (p *placementControl) applyView(view placement.View) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	if !p.directory.SetView(time.Now(), view) {
		return
	}
	for pool, allotments := range p.directory.Allotments() {
		p.instance.route.SetAllotments(pool, allotments)
	}
}

func (p *placementControl) reportDemand(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.directory.WaitingChanged():
			if !duration.Sleep(ctx, reportDebounce) {
				return
			}
		}
		p.sendDemand(ctx)
	}
}

func (p *placementControl) sendDemand(ctx context.Context) {
	holder := p.placer.Holder().Holder
	demands := p.directory.Report(time.Now())
	if len(demands) > 0 {
		p.emptyReportCount = 0
	} else if p.emptyReportCount++; p.emptyReportCount > maxEmptyReports {
		return
	}
	if holder == p.instance.settings.Instance {
		p.placer.Report(holder, demands)
		return
	}
	if holder != "" {
		p.notify(ctx, holder, peer.KindDemand, demandReport{Demands: demands})
	}
}

func (p *placementControl) handleDemand(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var report demandReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	p.placer.Report(from.Instance, report.Demands)
	return nil, nil
}

func (p *placementControl) handleView(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var view placement.View
	if err := cbor.Unmarshal(body, &view); err != nil {
		return nil, err
	}
	p.placer.RecordView(view)
	p.applyView(view)
	return nil, nil
}

func (p *placementControl) handleUpstreamEvent(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var event upstreamEvent
	if err := cbor.Unmarshal(body, &event); err != nil {
		return nil, err
	}
	p.placer.UpstreamEvent(event.Pool, event.Upstream, event.Incarnation)
	return nil, nil
}

// recordAnswer is called with the outcome of each attempt at an upstream. It
// notifies the placer of a broken connection to an engine or of an incarnation
// other than that in the view.
func (p *placementControl) recordAnswer(pool *catalog.Pool, u *catalog.Upstream, header http.Header, err error) {
	if pool.Kind != catalog.Engine {
		return
	}
	event := upstreamEvent{Pool: pool.Name, Upstream: u.Name}
	if err == nil {
		event.Incarnation = header.Get(filter.IncarnationHeader)
		if event.Incarnation == "" || event.Incarnation == p.directory.Incarnation(pool.Name, u.Name) {
			return
		}
	}
	p.placer.UpstreamEvent(event.Pool, event.Upstream, event.Incarnation)
	if holder := p.placer.Holder().Holder; holder != "" && holder != p.instance.settings.Instance {
		go p.notify(context.Background(), holder, peer.KindUpstreamEvent, event)
	}
}

// holder returns the holder of the placer's lease as last read.
func (p *placementControl) holder() string { return p.placer.Holder().Holder }

// replicas returns the ready and loading replicas of the latest view.
func (p *placementControl) replicas() []admin.ReplicaStatus {
	var list []admin.ReplicaStatus
	for _, m := range p.directory.View().Models {
		for _, r := range m.Ready {
			list = append(list, admin.ReplicaStatus{Pool: m.Pool, Model: m.Model, Upstream: r.Upstream, State: "ready"})
		}
		for _, r := range m.Loading {
			list = append(list, admin.ReplicaStatus{Pool: m.Pool, Model: m.Model, Upstream: r.Upstream, State: "loading"})
		}
	}
	return list
}
