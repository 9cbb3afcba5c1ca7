package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// OriginsTable has the origins of streams, in rows that are written in turn, so that they
// outlast all instances. It is apart from Table, which each contender for the lease reads.
const OriginsTable = "hibiscusyard-origins"

const (
	// minOriginBatchDelay delays reports of origins, so that streams that begin together
	// share one. originDelayPerInstance limits the leader to about 1,000 reports a second.
	minOriginBatchDelay    = 10 * time.Millisecond
	originDelayPerInstance = time.Millisecond
	// maxOriginReport bounds the streams in one report.
	maxOriginReport = 2000
	// originSaveInterval is the shortest time between two writes of origins, and
	// originRows the number of rows that are written in turn: together they span
	// origin.Keep.
	originSaveInterval = 250 * time.Millisecond
	originRows         = int(origin.Keep/originSaveInterval) + 1
	// maxOriginRow bounds the streams in one row; each takes 9 bytes of the row's 64 KiB.
	maxOriginRow = 4000
	// originsSettle is how long after it took the lease a leader may not have the reports of
	// all instances yet.
	originsSettle = 500 * time.Millisecond
	// originReportMargin is how long after the end of its delay the report of a stream may
	// reach the leader. A caller whose connection breaks may be back earlier.
	originReportMargin = 140 * time.Millisecond
	// minOriginsReadInterval is the shortest time between two reads of saved origins by an
	// instance without a leader, and originsReadPerInstance limits those of all instances to
	// 40 a second.
	minOriginsReadInterval = 250 * time.Millisecond
	originsReadPerInstance = 25 * time.Millisecond
	// originPoll is the pause between two questions for the origin of a stream.
	originPoll = 50 * time.Millisecond
	// versionsCheckInterval is the time between checks whether a version that has left is
	// not to be remembered any longer.
	versionsCheckInterval = time.Second
	// contactHeartbeats is the age, in intervals of heartbeats, up to which the last message of
	// the leader shows that it has admitted no other version.
	contactHeartbeats = 1.5
)

// originReport tells the leader where streams began.
type originReport struct {
	Batches []origin.Batch `cbor:"1,keyasint"`
}

// findOriginRequest asks the leader where a stream began.
type findOriginRequest struct {
	Stream   origin.StreamID `cbor:"1,keyasint"`
	Services []string        `cbor:"2,keyasint"`
	Service  string          `cbor:"3,keyasint"`
}

type findOriginResponse struct {
	Origin origin.Origin `cbor:"1,keyasint"`
	Source origin.Source `cbor:"2,keyasint"`
	// Settling is set if the leader may soon know more.
	Settling bool `cbor:"3,keyasint,omitempty"`
}

// savedOrigins is the value of a row of OriginsTable.
type savedOrigins struct {
	At      time.Duration  `cbor:"1,keyasint"` // store's clock
	Batches []origin.Batch `cbor:"2,keyasint"`
}

// originState is what a leader has saved of origins. Coordinator.mu guards it.
type originState struct {
	restored bool // rows of earlier leaders have been read
	saving   bool
	position int // in the ledger, up to which streams are saved
	row      int // next row
	nextSave bootclock.Time
	// losses are the times at which an instance may have ended with streams that it had not
	// reported.
	losses         *origin.Losses
	calls          map[string]originsCall // after broken links, by instance
	savedVersions  string
	savingVersions bool
	nextVersions   bootclock.Time
}

func newOriginState(now bootclock.Time) originState {
	return originState{losses: origin.NewLosses(now), calls: map[string]originsCall{}, savedVersions: unsaved}
}

// originDelay returns how long an instance collects streams before it reports them.
func originDelay(instances int) time.Duration {
	return max(minOriginBatchDelay, time.Duration(instances)*originDelayPerInstance)
}

// RecordOrigin implements gateway.Origins.
func (l *Client) RecordOrigin(request string, o origin.Origin) {
	now := bootclock.Now()
	l.mu.Lock()
	report := l.origins.Record(now, origin.ID(request), o) && l.origins.Mixed(now, o.Service)
	l.mu.Unlock()
	if report {
		l.reportOriginsSoon()
	}
}

// FindOrigin implements gateway.Origins.
func (l *Client) FindOrigin(ctx context.Context, request string, services []string, service string, maxWait time.Duration) (origin.Origin, origin.Source, bool) {
	question := findOriginRequest{Stream: origin.ID(request), Services: services, Service: service}
	began, late := bootclock.Now(), originDelay(l.Members())+originReportMargin
	for {
		o, source, certain := l.knownOrigin(question, began)
		if certain {
			return o, source, true
		}
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		response, err := callLeader(call, l, peer.KindFindOrigin, question, l.c.findOrigin)
		cancel()
		waited := bootclock.Since(began)
		switch {
		case err == nil && (response.Source == origin.Recorded || response.Source == origin.OnlyVersion):
			return response.Origin, response.Source, true
		case err == nil && !response.Settling && waited >= late:
			return response.Origin, response.Source, true
		case waited >= maxWait:
			return origin.Origin{}, origin.Unknown, false
		case err != nil && !l.c.readOrigins(began):
			// Neither the leader nor the store can be asked.
			return origin.Origin{}, origin.Unknown, false
		}
		if !duration.Sleep(ctx, originPoll) {
			return origin.Origin{}, origin.Unknown, false
		}
	}
}

// knownOrigin returns what this instance knows of a stream without a question to the
// leader. A version counts as the only one only while this instance has just heard of the
// leader or read the store, since the leader may have admitted another one.
func (l *Client) knownOrigin(question findOriginRequest, began bootclock.Time) (o origin.Origin, source origin.Source, certain bool) {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	o, source = l.origins.Find(now, question.Stream, question.Services, question.Service)
	fresh := l.lastContact != 0 && float64(now.Sub(l.lastContact)) < contactHeartbeats*float64(l.c.heartbeatInterval()) ||
		l.versionsReadAt != 0 && !l.versionsReadAt.Before(began)
	return o, source, source == origin.Recorded || source == origin.OnlyVersion && fresh && l.leader != l.c.config.Instance
}

// findOrigin answers a question for the origin of a stream if this instance leads.
func (c *Coordinator) findOrigin(_ context.Context, req findOriginRequest) (findOriginResponse, error) {
	now := bootclock.Now()
	c.mu.Lock()
	leads := c.leading && c.lease.Held(now)
	settling := !c.origins.restored || now.Sub(c.leadingSince) < originsSettle
	lostAt, unanswered := c.origins.losses.Last(), len(c.unansweredInstances()) > 0
	c.mu.Unlock()
	if !leads {
		return findOriginResponse{}, errNotLeading
	}
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	o, source := c.client.origins.Find(now, req.Stream, req.Services, req.Service)
	if source == origin.Unknown && !settling {
		o, source = c.client.origins.FindEarlier(now, lostAt, req.Stream, req.Services, req.Service)
		settling = unanswered
	}
	return findOriginResponse{Origin: o, Source: source, Settling: settling}, nil
}

func (l *Client) reportOriginsSoon() {
	select {
	case l.originsDue <- struct{}{}:
	default:
	}
}

// reportOrigins reports the origins of streams to the leader until ctx ends. A new leader
// gets all that this instance knows.
func (l *Client) reportOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.originsDue:
		}
		if !duration.Sleep(ctx, originDelay(l.Members())) {
			return
		}
		for l.sendOrigins(ctx) {
		}
	}
}

// sendOrigins sends one report and reports whether there may be more to send.
func (l *Client) sendOrigins(ctx context.Context) bool {
	now := bootclock.Now()
	l.mu.Lock()
	leader, token := l.leader, l.token
	if l.originsToken != token {
		l.originsToken, l.originsSent = token, 0
	}
	position := l.originsSent
	batches, next := l.origins.Since(now, position, maxOriginReport)
	l.mu.Unlock()
	if leader == "" || leader == l.c.config.Instance || len(batches) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if err := l.c.hub.Notify(ctx, leader, peer.KindOrigins, originReport{Batches: batches}); err != nil {
		l.c.config.Log.WithError(err).Debug("origins not reported to the leader")
		time.AfterFunc(tick, l.reportOriginsSoon)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.originsToken == token && l.originsSent == position {
		l.originsSent = next
	}
	return true
}

func (c *Coordinator) handleOrigins(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var report originReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.client.origins.Apply(bootclock.Now(), report.Batches)
	return nil, nil
}

// restoreOrigins reads what earlier leaders saved. Until it has, a stream that this
// instance doesn't know may be known all the same.
func (c *Coordinator) restoreOrigins(token uint64) {
	ctx := context.Background()
	for {
		read, cancel := context.WithTimeout(ctx, storeTimeout)
		page, err := c.config.Store.Read(read, OriginsTable)
		cancel()
		c.mu.Lock()
		leads := c.leading && c.lease.Token() == token
		c.mu.Unlock()
		if !leads {
			return
		}
		if err == nil {
			row := c.applySavedOrigins(page)
			c.mu.Lock()
			c.origins.restored, c.origins.row = true, row
			c.mu.Unlock()
			return
		}
		c.config.Log.WithError(err).Info("origins of streams not read from the store; retrying")
		duration.Sleep(ctx, renewRetry)
	}
}

// readOrigins reads what the leaders saved, for an instance that can't ask one, unless it
// has just been read. All requests share a read, and the pause until the next one grows with
// the number of instances. It reports whether the store may still give an answer to a
// question that began at the given time.
func (c *Coordinator) readOrigins(began bootclock.Time) bool {
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := c.originsReadFailed != 0 && !c.originsReadFailed.Before(began)
	if failed || c.readingOrigins || now.Before(c.nextOriginsRead) {
		return !failed
	}
	c.readingOrigins = true
	c.nextOriginsRead = now.Add(max(minOriginsReadInterval, time.Duration(c.config.Size())*originsReadPerInstance))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		err := c.readVersions(ctx)
		var page ports.Page
		if err == nil {
			page, err = c.config.Store.Read(ctx, OriginsTable)
		}
		if err == nil {
			c.applySavedOrigins(page)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readingOrigins = false
		if err != nil {
			c.originsReadFailed = bootclock.Now()
			c.config.Log.WithError(err).Info("origins of streams not read from the store")
		}
	}()
	return true
}

// applySavedOrigins takes over saved origins and returns the number of the row to write next.
func (c *Coordinator) applySavedOrigins(page ports.Page) int {
	newest, row, streams := time.Duration(-1), 0, 0
	now := bootclock.Now()
	c.client.mu.Lock()
	for _, r := range page.Rows {
		var saved savedOrigins
		var number int
		if err := cbor.Unmarshal(r.Value, &saved); err != nil || r.Table != OriginsTable {
			continue
		}
		if _, err := fmt.Sscan(r.Key, &number); err != nil {
			continue
		}
		if saved.At > newest {
			newest, row = saved.At, number+1
		}
		if page.Clock-saved.At > origin.Keep {
			continue
		}
		c.client.origins.Apply(now, saved.Batches)
		for _, b := range saved.Batches {
			streams += len(b.Streams)
		}
	}
	c.client.mu.Unlock()
	c.config.Log.WithFields(log.Fields{"rows": len(page.Rows), "streams": streams}).Info("origins of streams read")
	return row % originRows
}

// startOrigins begins a term: the leader saves what it knows, and first reads what earlier
// leaders saved if a stream may have begun at one of several versions. The caller holds mu.
func (c *Coordinator) startOrigins(now bootclock.Time) {
	c.origins = newOriginState(now)
	for _, id := range c.hub.Connected() {
		c.origins.losses.LinkUp(now, id.Instance, id.Incarnation)
	}
	c.client.mu.Lock()
	c.client.origins.StartTerm()
	mixed := c.client.origins.AnyMixed(now)
	c.client.mu.Unlock()
	if !mixed {
		c.origins.restored = true
		return
	}
	go c.restoreOrigins(c.lease.Token())
}

// saveOrigins writes the origins that are not saved yet, while several versions serve.
func (c *Coordinator) saveOrigins(now bootclock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.origins
	if !c.leading || !s.restored || s.saving || now.Before(s.nextSave) {
		return
	}
	c.client.mu.Lock()
	position := s.position
	batches, next := c.client.origins.Since(now, position, maxOriginRow)
	c.client.mu.Unlock()
	if len(batches) == 0 {
		s.position = next
		return
	}
	value := c.encode(savedOrigins{At: c.lease.StoreClock(now), Batches: batches})
	key, token := fmt.Sprintf("%03d", s.row), c.lease.Token()
	s.saving, s.nextSave = true, now.Add(originSaveInterval)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		_, err := c.config.Store.Commit(ctx, ports.Change{Table: OriginsTable, Key: key, Value: value, Unconditional: true})
		if err != nil {
			c.config.Log.WithError(err).Info("origins of streams not written to the store; retrying")
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.lease.Token() != token {
			return
		}
		c.origins.saving = false
		if err == nil {
			c.origins.row = (c.origins.row + 1) % originRows
		}
		if err == nil && c.origins.position == position {
			c.origins.position = next
		}
	}()
}
