package development

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/duration"
	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// PlatformKey is a caller's key of the sample deployment.
const PlatformKey = "committee-key"

// PlatformSystem is a running sample of the users' platform: a store, two
// engines, a plain service and two instances.
type PlatformSystem struct {
	store     *userplatform.Store
	server    *http.Server
	upstreams []*userplatform.Upstream
	nodes     []*node.Node
	callers   []string
	ready     []string
}

// StartPlatform runs the sample and returns when its instances are ready.
func StartPlatform(ctx context.Context, logger log.Interface) (*PlatformSystem, error) {
	s := &PlatformSystem{store: userplatform.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, oops.In("development").Wrap(err)
	}
	s.server = &http.Server{Handler: s.store.Gate(), ReadHeaderTimeout: readyLimit}
	go s.server.Serve(l) //nolint:errcheck // it ends with Stop.
	if err := userplatform.Sample().Write(s.store); err != nil {
		return s, err
	}
	if err := s.startUpstreams(); err != nil {
		return s, err
	}
	for i := range 2 {
		if err := s.startNode(fmt.Sprintf("entry-%d", i+1), l.Addr().String(), logger); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(ctx)
}

func (s *PlatformSystem) startUpstreams() error {
	for i, model := range []string{"notices", "summaries"} {
		s.upstreams = append(s.upstreams,
			&userplatform.Upstream{
				ID: fmt.Sprintf("engine-%d", i+1), Service: "engine", Zone: "north", Slots: 16, Events: 12, Work: tokenPace,
				Engine: &userplatform.Engine{Places: 2, AdapterSlots: 4, LoadTime: loadTime, Models: map[string][]string{model: nil}},
			},
			&userplatform.Upstream{ID: fmt.Sprintf("rota-%d", i+1), Service: "rota", Zone: "north", Slots: 6, Work: tokenPace},
		)
	}
	for _, u := range s.upstreams {
		if err := u.Start(s.store); err != nil {
			return oops.In("development").Wrap(err)
		}
	}
	return nil
}

func (s *PlatformSystem) startNode(name, store string, logger log.Interface) error {
	settings, err := sample.Settings(name, store)
	if err != nil {
		return err
	}
	n := node.New(settings, logger)
	if err := n.Start(); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	s.callers = append(s.callers, settings.CallerListen)
	s.ready = append(s.ready, settings.ReadyListen)
	return nil
}

func (s *PlatformSystem) awaitReady(ctx context.Context) error {
	end := time.Now().Add(readyLimit)
	for _, address := range s.ready {
		for !isReady(ctx, "http://"+address+"/readiness") {
			if time.Now().After(end) {
				return oops.In("development").Errorf("instance at %s is not ready after %s", address, readyLimit)
			}
			if !duration.Sleep(ctx, readyPoll) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// Explain prints a first request.
func (s *PlatformSystem) Explain(w io.Writer) {
	fmt.Fprintf(w, "hibiscusyard is ready on a stand-in of the users' platform: two instances, two engines, one service.\n\n"+
		"\"notices\" is loaded; \"letters\" is loaded by its first request (%s):\n\n", loadTime)
	for i, model := range []string{"notices", "letters"} {
		fmt.Fprintf(w, "  curl -N http://%s/drafts/1 -d '{}' -H 'Host: rota.example' -H 'Authorization: Token %s' \\\n"+
			"    -H '%s: first-%d' -H '%s: %s' -H '%s: 100,20' -H '%s: 8000'\n\n",
			s.callers[i], PlatformKey, userplatform.HeaderID, i+1, userplatform.HeaderModel, model,
			userplatform.HeaderTokens, userplatform.HeaderDeadline)
	}
}

// Callers returns the addresses for callers.
func (s *PlatformSystem) Callers() []string { return s.callers }

// Stop ends the sample.
func (s *PlatformSystem) Stop() {
	for _, n := range s.nodes {
		n.Stop()
	}
	for _, u := range s.upstreams {
		u.Close()
	}
	s.server.Close()
}
