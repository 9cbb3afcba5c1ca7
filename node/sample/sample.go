// Package sample builds settings for instances on loopback addresses, for the
// sample system and for tests with the stand-in platform.
package sample

import (
	"net"

	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/node"
)

// Settings returns the settings of an instance with listen addresses that were free
// at the time of the call; they are not reserved. The bounds are those of the
// users' deployments.
func Settings(instance, store string) (node.Settings, error) {
	s := node.Settings{
		Instance: instance, DataCentre: "north", Store: store,
		MemoryMB: 256, CPUShare: 1, LinkMbps: 1000, LogLevel: "info", StoreParallel: 4,
		Bounds: node.Bounds{
			RevokeMS: 5000, DrainMS: 2000, ConfigurationMS: 2000, GraceS: 8, LeaseMS: 3000, BudgetRatio: 0.2,
			BudgetSlack: 56, BudgetWindowS: 10, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 11000,
		},
	}
	for _, address := range []*string{&s.CallerListen, &s.ReadyListen, &s.PeerListen, &s.MetricsListen} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return s, oops.In("sample").Wrapf(err, "find a free address")
		}
		// The listeners stay open until all addresses are chosen, so that these differ.
		defer l.Close()
		*address = l.Addr().String()
	}
	return s, nil
}
