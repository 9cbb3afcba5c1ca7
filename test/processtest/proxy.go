package processtest

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Proxy is a TCP proxy that injects faults into the connections to an address.
// It runs in the test process.
type Proxy struct {
	// Address is where the proxy listens.
	Address string

	t      testing.TB
	proxy  *toxiproxy.Proxy
	toxics []string
	cut    bool
	// reserved is the socket that keeps the port while the proxy is cut.
	reserved int
}

// NewProxy starts a proxy without faults in front of an address.
func NewProxy(t testing.TB, upstream string) *Proxy {
	t.Helper()
	// The server only passes the logger and the metrics to the proxy; it is not
	// started.
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := &Proxy{t: t, proxy: toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)}
	if err := p.proxy.Start(); err != nil {
		t.Fatal(err)
	}
	p.Address = p.proxy.Listen
	t.Cleanup(p.proxy.Stop)
	return p
}

// Redirect closes all connections and makes the proxy forward new ones to
// another address. The proxy's own address stays the same.
func (p *Proxy) Redirect(upstream string) {
	p.t.Helper()
	p.Cut()
	p.proxy.Upstream = upstream
	p.Heal()
}

// URL returns the base URL of the proxy.
func (p *Proxy) URL() string { return "http://" + p.Address }

// Cut closes all connections and refuses new ones.
func (p *Proxy) Cut() {
	p.t.Helper()
	p.proxy.Stop()
	p.cut = true
	// The port can be in use briefly, by connections that are being closed or by
	// an outgoing connection of another process.
	Eventually(p.t, "the port of a cut proxy is reserved", func() bool {
		var err error
		p.reserved, err = reserve(p.Address)
		return err == nil
	})
}

// reserve binds a socket to the port without listening, so that connections
// are refused and the system does not assign the port to another socket. Under
// load, it assigned ports of cut proxies to outgoing connections.
func reserve(address string) (socket int, err error) {
	port := netip.MustParseAddrPort(address)
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return -1, err
	}
	syscall.CloseOnExec(socket)
	if err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: int(port.Port()), Addr: port.Addr().As4()})
	}
	if err != nil {
		syscall.Close(socket)
		return -1, err
	}
	return socket, nil
}

// Blackhole keeps connections open but forwards no data in either direction.
func (p *Proxy) Blackhole() {
	p.t.Helper()
	p.addToxic("timeout", "upstream", `{"timeout":0}`)
	p.addToxic("timeout", "downstream", `{"timeout":0}`)
}

// Delay delays the data of each direction by d.
func (p *Proxy) Delay(d time.Duration) {
	p.t.Helper()
	attributes := fmt.Sprintf(`{"latency":%d}`, d.Milliseconds())
	p.addToxic("latency", "upstream", attributes)
	p.addToxic("latency", "downstream", attributes)
}

// Reset resets a connection when data arrives from the client.
func (p *Proxy) Reset() {
	p.t.Helper()
	p.addToxic("reset_peer", "upstream", `{"timeout":0}`)
}

// LoseAnswers forwards requests and closes the connection at the first byte of
// the answer.
func (p *Proxy) LoseAnswers() {
	p.t.Helper()
	p.addToxic("limit_data", "downstream", `{"bytes":0}`)
}

// Heal removes all faults.
func (p *Proxy) Heal() {
	p.t.Helper()
	for _, name := range p.toxics {
		if err := p.proxy.Toxics.RemoveToxic(context.Background(), name); err != nil {
			p.t.Fatalf("remove fault %s: %v", name, err)
		}
	}
	p.toxics = nil
	if p.cut {
		p.cut = false
		defer syscall.Close(p.reserved)
		if err := p.proxy.Start(); err != nil {
			p.t.Fatal(err)
		}
	}
}

func (p *Proxy) addToxic(kind, direction, attributes string) {
	p.t.Helper()
	name := kind + "-" + direction
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, name, kind, direction, attributes)
	if _, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		p.t.Fatalf("add fault %s: %v", name, err)
	}
	p.toxics = append(p.toxics, name)
}
