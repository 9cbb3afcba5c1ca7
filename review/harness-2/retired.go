package main

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { cases["retired"] = retiredModel }

const (
	// shortDemand is how long requests for models come before a change of the desired state.
	shortDemand = 6 * time.Second
	// laterDemand is how long they come after it.
	laterDemand = 15 * time.Second
)

// retiredModel plays a change of the desired state that removes a model which a worker
// still holds.
func retiredModel(r *run) error {
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
	i, err := r.startInstance("entry-1", nil)
	if err != nil {
		return err
	}
	before, stop := context.WithTimeout(context.Background(), shortDemand)
	r.askForModels(before, i, "notices", "summaries")
	stop()
	desired.Version++
	if r.trouble {
		models := desired.Services[0].Engine.Models
		desired.Services[0].Engine.Models = models[1:]
		r.notef("version %d of the desired state has no model %s any longer", desired.Version, models[0].Name)
	}
	if err := desired.Write(r.store); err != nil {
		return err
	}
	after, stop := context.WithTimeout(context.Background(), laterDemand)
	r.askForModels(after, i, "summaries", "letters")
	stop()
	if w.exitCode() == overcommitted {
		r.failf("LIMIT: %s was ordered to load more than the %d MB that it holds", w.id, weightsMB)
		return nil
	}
	list := w.orders()
	for _, o := range list {
		r.notef("order at %.3f s: %s %s, status %d", o.At.Sub(r.started).Seconds(), o.Operation, o.Model, o.Status)
	}
	if w.exitCode() >= 0 || len(list) == 0 {
		return fmt.Errorf("%s has ended or got no orders", w.id)
	}
	return nil
}
