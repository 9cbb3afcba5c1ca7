package hibiscusyard

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/admin"
)

// status returns the status of the instance for the administration API.
func (i *Instance) status(ctx context.Context) admin.Status {
	index, _ := i.catalog.Current()
	age, _ := i.catalog.Age(time.Now())
	reasons := i.notReady()
	s := admin.Status{
		Instance: i.settings.Instance, Incarnation: i.incarnation, DataCentre: i.settings.DataCentre,
		Build: Version, Ready: len(reasons) == 0, Reasons: reasons,
		Version: index.Version(), AgeSeconds: age.Seconds(),
		Versions: i.catalog.Versions(ctx), Members: i.members.Names(),
		Placer: i.placement.holder(), Replicas: i.placement.replicas(),
	}
	s.Versions[i.settings.Instance] = index.Version()
	for _, name := range s.Members {
		if s.Versions[name] < s.Version {
			s.Unconfirmed = append(s.Unconfirmed, name)
		}
	}
	return s
}
