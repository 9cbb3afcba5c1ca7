package awsapi

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/servicediscovery"
	"github.com/aws/aws-sdk-go-v2/service/servicediscovery/types"
	"github.com/aws/smithy-go/middleware"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Attributes of an instance in AWS Cloud Map. The first two are the service's
// own, the others are custom.
const (
	attrIPv4        = "AWS_INSTANCE_IPV4"
	attrPort        = "AWS_INSTANCE_PORT"
	attrDataCentre  = "data_centre"
	attrIncarnation = "incarnation"
	attrState       = "state" // "live" or "leaving"
	stateLeaving    = "leaving"
)

// maxDiscovered is the maximum number of instances in one response.
// DiscoverInstances has no pagination; the target of 860 instances fits.
const maxDiscovered = 1000

// CloudMapInstances is a ports.InstanceList over the AWS Cloud Map API.
type CloudMapInstances struct {
	client    *servicediscovery.Client
	endpoint  Endpoint
	namespace string
	service   string
}

// NewCloudMapInstances returns a client of the list of one service.
func NewCloudMapInstances(e Endpoint, namespace, service string) (*CloudMapInstances, error) {
	e, err := e.check()
	if err != nil {
		return nil, err
	}
	client := servicediscovery.NewFromConfig(e.config(), func(o *servicediscovery.Options) {
		o.APIOptions = append(o.APIOptions, disableHostPrefix)
	})
	return &CloudMapInstances{client: client, endpoint: e, namespace: namespace, service: service}, nil
}

// disableHostPrefix prevents the client from prefixing the host with "data-",
// which would turn an IP address into a host name.
func disableHostPrefix(stack *middleware.Stack) error {
	return stack.Initialize.Add(middleware.InitializeMiddlewareFunc("DisableHostPrefix",
		func(ctx context.Context, in middleware.InitializeInput, next middleware.InitializeHandler) (
			middleware.InitializeOutput, middleware.Metadata, error,
		) {
			return next.HandleInitialize(smithyhttp.DisableEndpointHostPrefix(ctx, true), in)
		}), middleware.Before)
}

// List implements ports.InstanceList. The entries are sorted by ID.
func (m *CloudMapInstances) List(ctx context.Context) ([]ports.ListedInstance, error) {
	c := m.endpoint.newCall(ctx)
	defer c.cancel()
	out, err := m.client.DiscoverInstances(c, &servicediscovery.DiscoverInstancesInput{
		NamespaceName: &m.namespace, ServiceName: &m.service,
		HealthStatus: types.HealthStatusFilterAll, MaxResults: aws.Int32(maxDiscovered),
	})
	if err != nil {
		return nil, c.classify("list instances", err)
	}
	list := make([]ports.ListedInstance, 0, len(out.Instances))
	for _, summary := range out.Instances {
		entry, err := decodeInstance(summary)
		if err != nil {
			return nil, err // omitting the entry would make a live instance look gone
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b ports.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

func decodeInstance(s types.HttpInstanceSummary) (ports.ListedInstance, error) {
	address, err := netip.ParseAddrPort(s.Attributes[attrIPv4] + ":" + s.Attributes[attrPort])
	if err != nil {
		return ports.ListedInstance{}, fmt.Errorf("list instances: %s: %w", aws.ToString(s.InstanceId), err)
	}
	return ports.ListedInstance{
		ID:          aws.ToString(s.InstanceId),
		Address:     address.String(),
		DataCentre:  s.Attributes[attrDataCentre],
		Incarnation: s.Attributes[attrIncarnation],
		Leaving:     s.Attributes[attrState] == stateLeaving,
	}, nil
}
