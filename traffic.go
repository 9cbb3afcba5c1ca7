package hibiscusyard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// newPlatformClient returns an HTTP client for the platform's services. It
// counts the bytes on its connections, which are part of the control traffic.
func newPlatformClient(set *metrics.Set) *http.Client {
	sent := set.NewCounter("hibiscusyard_platform_sent_bytes_total")
	received := set.NewCounter("hibiscusyard_platform_received_bytes_total")
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, sent, received}, nil
		},
	}}
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	sent, received *metrics.Counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(n)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(n)
	return n, err
}

// exportTrafficMetrics registers metrics of the traffic on peer links. Frame
// headers, pings and handshakes are not counted.
func (i *Instance) exportTrafficMetrics() {
	for name, value := range map[string]func() uint64{
		"hibiscusyard_peer_messages_sent_total":     func() uint64 { n, _, _, _ := i.hub.Traffic(); return n },
		"hibiscusyard_peer_messages_received_total": func() uint64 { _, n, _, _ := i.hub.Traffic(); return n },
		"hibiscusyard_peer_sent_bytes_total":        func() uint64 { _, _, n, _ := i.hub.Traffic(); return n },
		"hibiscusyard_peer_received_bytes_total":    func() uint64 { _, _, _, n := i.hub.Traffic(); return n },
		"hibiscusyard_peer_links":                   func() uint64 { return uint64(len(i.hub.Connected())) },
	} {
		i.metrics.NewGauge(name, func() float64 { return float64(value()) })
	}
}
