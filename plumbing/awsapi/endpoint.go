// Package awsapi provides clients of the DynamoDB, S3 and Cloud Map APIs that
// implement the interfaces of package ports.
package awsapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/smithy-go"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// DefaultCallTimeout bounds one call of a platform service. The placer lease
// lasts 4 s and is renewed every 1 s, so a slow call must end well before that.
const DefaultCallTimeout = 1500 * time.Millisecond

// Endpoint configures how a client reaches one platform service. Environment
// variables, profiles and other sources of configuration are not used.
type Endpoint struct {
	// HTTP sends the requests. Required.
	HTTP *http.Client
	// URL is the base URL with an IP address and a port. Required.
	URL string
	// Region is the signing region. Default "local".
	Region string
	// AccessKey and SecretKey sign the requests. Required.
	AccessKey, SecretKey string
	// Timeout bounds each call. Default DefaultCallTimeout.
	Timeout time.Duration
}

// check validates the endpoint and returns it with defaults applied.
func (e Endpoint) check() (Endpoint, error) {
	if e.HTTP == nil {
		return e, errors.New("endpoint: an HTTP client is required")
	}
	u, err := url.Parse(e.URL)
	if err != nil {
		return e, fmt.Errorf("endpoint: %w", err)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return e, fmt.Errorf("endpoint: the scheme of %q must be http or https", e.URL)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return e, fmt.Errorf("endpoint: the host of %q must be an IP address and a port", e.URL)
	}
	if e.AccessKey == "" || e.SecretKey == "" {
		return e, errors.New("endpoint: access key and secret key are required")
	}
	if e.Region == "" {
		e.Region = "local"
	}
	if e.Timeout <= 0 {
		e.Timeout = DefaultCallTimeout
	}
	return e, nil
}

// config returns the options that all clients share. The SDK's retries are
// disabled: callers decide what is retried, and when.
func (e Endpoint) config() aws.Config {
	return aws.Config{
		BaseEndpoint: aws.String(e.URL), Region: e.Region, Credentials: e, HTTPClient: e.HTTP,
		Retryer: func() aws.Retryer { return aws.NopRetryer{} }, RetryMaxAttempts: 1,
	}
}

// Retrieve implements aws.CredentialsProvider.
func (e Endpoint) Retrieve(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: e.AccessKey, SecretAccessKey: e.SecretKey}, nil
}

// call is the context of one call. It records whether a connection was obtained
// for the call; without one, no byte can have been sent.
type call struct {
	context.Context
	cancel    context.CancelFunc
	connected atomic.Bool
}

func (e Endpoint) newCall(ctx context.Context) *call {
	c := &call{}
	ctx, c.cancel = context.WithTimeout(ctx, e.Timeout)
	c.Context = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
	})
	return c
}

// throttling lists the error codes with which the services refuse a call that
// exceeds the rate limit.
var throttling = map[string]bool{
	"ThrottlingException":                    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"SlowDown":                               true,
}

// classify wraps err in the error of package ports that describes the effect of
// the call.
func (c *call) classify(op string, err error) error {
	if err == nil {
		return nil
	}
	class := ports.ErrUnknown
	var api smithy.APIError
	switch {
	case errors.As(err, &api) && throttling[api.ErrorCode()]:
		class = ports.ErrNotApplied
	case !c.connected.Load():
		class = ports.ErrNotApplied
	}
	return fmt.Errorf("%s: %w: %w", op, class, err)
}
