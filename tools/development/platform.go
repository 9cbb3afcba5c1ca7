package development

import (
	"context"
	"fmt"
	"io"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
	"github.com/hibiscusyard/hibiscusyard/tools/emulator"
)

// PlatformSystem is a running sample of the users' platform: a store, two
// engines, a plain service and two instances.
type PlatformSystem struct {
	*emulator.Deployment
	scenario *emulator.Scenario
}

// StartPlatform starts the sample and returns when its instances are ready.
func StartPlatform(ctx context.Context, logger log.Interface) (*PlatformSystem, error) {
	scenario, err := emulator.SampleScenario()
	if err != nil {
		return nil, err
	}
	world, err := emulator.Start(ctx, scenario, logger)
	if err != nil {
		world.Stop()
		return nil, err
	}
	return &PlatformSystem{world, scenario}, nil
}

// Explain prints example requests: one for a model that is loaded, and one for
// the last model, which is not loaded.
func (s *PlatformSystem) Explain(w io.Writer) {
	engine := s.scenario.Services[0].Engine
	fmt.Fprintf(w, "hibiscusyard is ready on a stand-in of the users' platform: two instances, two engines, one service.\n\n"+
		"\"m0\" is loaded; \"m%d\" is loaded by its first request (%s):\n\n", engine.Models-1, engine.LoadTime.Std())
	for i, model := range []int{0, engine.Models - 1} {
		fmt.Fprintf(w, "  curl -N http://%s/drafts/1 -d '{}' -H 'Host: %s' -H 'Authorization: Token %s' \\\n"+
			"    -H '%s: first-%d' -H '%s: m%d' -H '%s: 100,20' -H '%s: 8000'\n\n",
			s.CallerAddresses()[i], emulator.Host, emulator.WorkspaceKey(s.scenario.Workspaces[0].Name), userplatform.HeaderID, i+1,
			userplatform.HeaderModel, model, userplatform.HeaderTokens, userplatform.HeaderDeadline)
	}
}
