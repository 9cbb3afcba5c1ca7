package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { cases["holder"] = replacedHolder }

const (
	// leaseTime is leaseMs of the deployments.
	leaseTime = 3 * time.Second
	// demandTime is how long requests for models come before and after the replacement.
	demandTime = 12 * time.Second
	// replaceDelay is the time after which a new machine comes in place of one that is gone.
	replaceDelay = 500 * time.Millisecond
)

// replacedHolder plays the replacement of the machine that leads by one at another address.
func replacedHolder(r *run) error {
	desired := userplatform.Sample()
	for n := range desired.Tenants {
		desired.Tenants[n].Rate, desired.Tenants[n].Burst = 1e9, 1e9 // limits are no subject here
	}
	if err := desired.Write(r.store); err != nil {
		return err
	}
	w, err := r.startWorker("engine", "engine-1")
	if err != nil {
		return err
	}
	leader, err := r.startInstance("entry-1", nil)
	if err != nil {
		return err
	}
	before, stop := context.WithTimeout(context.Background(), demandTime)
	models := modelNames(desired)
	r.askForModels(before, leader, models...)
	stop()
	list := w.orders()
	if len(list) == 0 {
		return fmt.Errorf("the leader gave no orders")
	}
	removed := time.Now()
	name := "entry-1"
	if other := os.Getenv("NAME"); other != "" { // for comparison: the new machine has a name of its own
		name = other
	}
	next := leader
	if r.trouble {
		r.notef("entry-1 at %s is removed for good", leader.settings.PeerListen)
		leader.kill()
		time.Sleep(replaceDelay)
		if next, err = r.startInstance(name, nil); err != nil {
			return err
		}
		r.notef("%s at %s comes in its place", name, next.settings.PeerListen)
	}
	after, stop := context.WithTimeout(context.Background(), demandTime)
	r.askForModels(after, next, models...)
	stop()
	return r.judgeTurns(w.orders(), removed)
}

// askForModels asks for the models in turn until ctx ends.
func (r *run) askForModels(ctx context.Context, i *instance, models ...string) {
	for n := 0; ctx.Err() == nil; n++ {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.settings.CallerListen+"/drafts/1", strings.NewReader("draft"))
		if err != nil {
			return
		}
		request.Host = "rota.example"
		request.Header.Set("Authorization", "Token committee-key")
		request.Header.Set(userplatform.HeaderID, fmt.Sprintf("%d-%d", time.Now().UnixNano(), n))
		request.Header.Set(userplatform.HeaderDeadline, "2000")
		request.Header.Set(userplatform.HeaderModel, models[n%len(models)])
		request.Header.Set(userplatform.HeaderTokens, "100,20")
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		status := 0
		if err == nil {
			status = response.StatusCode
			response.Body.Close()
		}
		r.notef("request for %s at %s: status %d", models[n%len(models)], i.settings.Instance, status)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// modelNames returns the names of the models in a desired state.
func modelNames(d userplatform.Desired) []string {
	var names []string
	for _, m := range d.Services[0].Engine.Models {
		names = append(names, m.Name)
	}
	return names
}

// judgeTurns checks the time between the last order of the old machine and the first one of
// the new machine.
func (r *run) judgeTurns(list []order, removed time.Time) error {
	var last, first *order
	for n, o := range list {
		machine := "old"
		if r.trouble && o.At.After(removed) {
			machine = "new"
		}
		r.notef("order at %.3f s of the %s machine: %s %s, holder %s, fencing token %d, status %d",
			o.At.Sub(r.started).Seconds(), machine, o.Operation, o.Model, o.Holder, o.Token, o.Status)
		switch {
		case machine == "old":
			last = &list[n]
		case first == nil:
			first = &list[n]
		}
	}
	if !r.trouble {
		return nil
	}
	if last == nil || first == nil {
		return fmt.Errorf("one of the machines gave no orders")
	}
	turn := first.At.Sub(last.At)
	r.notef("%.3f s between the last order of the old machine and the first of the new one, bound %.0f s", turn.Seconds(), leaseTime.Seconds())
	if turn < leaseTime {
		r.failf("ONE: two machines took turns at a worker within %.3f s", turn.Seconds())
	}
	return nil
}
