package awsapi_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/hibiscusyard/hibiscusyard/plumbing/awsapi"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/standin/objects"
	"github.com/hibiscusyard/hibiscusyard/standin/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callTimeout is long, for calls that are expected to be answered; tests of calls
// that hang use a short timeout.
const callTimeout = 10 * time.Second

// serve runs a stand-in and returns its endpoint.
func serve(t *testing.T, h http.Handler, timeout time.Duration) awsapi.Endpoint {
	t.Helper()
	server := httptest.NewServer(h)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return awsapi.Endpoint{HTTP: client, URL: server.URL, AccessKey: "a", SecretKey: "s", Timeout: timeout}
}

func newTable(t *testing.T, timeout time.Duration) (*table.Table, *awsapi.DynamoTable) {
	t.Helper()
	standIn := table.New(table.Config{PageSize: 2})
	client, err := awsapi.NewDynamoTable(serve(t, standIn, timeout), "hibiscusyard")
	if err != nil {
		t.Fatal(err)
	}
	return standIn, client
}

func put(key, value string, revision uint64) ports.Write {
	return ports.Write{Key: key, Value: []byte(value), Revision: revision}
}

// Guards against rows that are returned altered, skipped pages, ignored checks
// and deletes, and expiry times that are not stored.
func TestTableRoundTrip(t *testing.T) {
	standIn, client := newTable(t, callTimeout)
	ctx := t.Context()
	for _, name := range []string{"e", "b", "a", "d", "c"} {
		if err := client.Transact(ctx, "put-"+name, put("slot/"+name, "v"+name, 0), put("other/"+name, "", 0)); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := client.List(ctx, "slot")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, r := range rows {
		names = append(names, r.Key+"="+string(r.Value))
	}
	if got := strings.Join(names, " "); got != "slot/a=va slot/b=vb slot/c=vc slot/d=vd slot/e=ve" {
		t.Errorf("rows over several pages: got %s", got)
	}
	soon := time.Now().Add(-time.Second)
	err = client.Transact(ctx, strings.Repeat("long token ", 9), put("slot/a", "new", 1),
		ports.Write{Key: "slot/b", Check: true, Revision: 1}, ports.Write{Key: "slot/c", Delete: true, Revision: 1},
		ports.Write{Key: "slot/d", Value: []byte("x"), Revision: 1, ExpiresAt: soon})
	if err != nil {
		t.Fatal(err)
	}
	row, err := client.Get(ctx, "slot/a")
	if err != nil || string(row.Value) != "new" || row.Revision != 2 || row.Token != strings.Repeat("long token ", 9) {
		t.Errorf("updated row: got %+v, %v", row, err)
	}
	for _, key := range []string{"slot/c", "slot/d", "slot/none"} {
		if _, err := client.Get(ctx, key); !errors.Is(err, ports.ErrNotFound) {
			t.Errorf("get of deleted, expired or absent row %s: got %v, want ErrNotFound", key, err)
		}
	}
	if n := standIn.State().Transactions; n != 6 {
		t.Errorf("got %d transactions for 6 calls, want 6", n)
	}
}

// Guards against misclassified write errors: a write with a lost response or a
// timeout that is reported as not applied is decided twice, and a refused one
// that is reported as unknown is never repeated.
func TestTableErrorClasses(t *testing.T) {
	cases := map[string]struct {
		faults  standin.Faults
		write   ports.Write
		timeout time.Duration
		want    error
		applied bool
	}{
		"the row exists already":        {write: put("lease/held", "x", 0), want: ports.ErrConflict},
		"the revision has moved on":     {write: put("lease/held", "x", 7), want: ports.ErrConflict},
		"another transaction under way": {faults: standin.Faults{Conflicts: 1}, want: ports.ErrNotApplied},
		"over the rate limit":           {faults: standin.Faults{Rate: 0.001}, want: ports.ErrNotApplied},
		"internal error":                {faults: standin.Faults{Outage: standin.OutageError}, want: ports.ErrUnknown},
		"connection closed":             {faults: standin.Faults{Outage: standin.OutageClose}, want: ports.ErrUnknown},
		"answer lost after effect":      {faults: standin.Faults{LoseAnswers: 1}, want: ports.ErrUnknown, applied: true},
		"no answer in time":             {faults: standin.Faults{Hang: true}, timeout: 50 * time.Millisecond, want: ports.ErrUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			standIn, client := newTable(t, max(c.timeout, 0))
			if c.timeout == 0 {
				standIn, client = newTable(t, callTimeout)
			}
			if c.timeout == 0 {
				if err := client.Transact(t.Context(), "first", put("lease/held", "y", 0)); err != nil {
					t.Fatal(err)
				}
			}
			if c.faults.Rate > 0 { // spend the burst
				standIn.SetFaults(c.faults)
				_, _ = client.Get(t.Context(), "lease/held")
			}
			standIn.SetFaults(c.faults)
			write := c.write
			if write.Key == "" {
				write = put("lease/new", "x", 0)
			}
			before := standIn.State().Requests
			err := client.Transact(t.Context(), "second", write)
			for _, class := range []error{ports.ErrConflict, ports.ErrNotApplied, ports.ErrUnknown, ports.ErrNotFound} {
				if errors.Is(err, class) != (class == c.want) {
					t.Errorf("errors.Is %q: got %t, want only %q: %v", class, errors.Is(err, class), c.want, err)
				}
			}
			if n := standIn.State().Requests - before; n != 1 {
				t.Errorf("got %d requests for one call, want 1: the client must not retry", n)
			}
			standIn.SetFaults(standin.Faults{})
			_, err = client.Get(t.Context(), "lease/new")
			if applied := err == nil; applied != c.applied {
				t.Errorf("write applied: got %t, want %t", applied, c.applied)
			}
		})
	}
}

// Guards against reporting a write as possibly applied when the table was never
// reached.
func TestTableUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close() // nothing listens here any more
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	e := awsapi.Endpoint{HTTP: &http.Client{Transport: transport}, URL: "http://" + address, AccessKey: "a", SecretKey: "s"}
	client, err := awsapi.NewDynamoTable(e, "hibiscusyard")
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Transact(t.Context(), "t", put("lease/a", "", 0)); !errors.Is(err, ports.ErrNotApplied) {
		t.Errorf("connection refused: got %v, want ErrNotApplied", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.Transact(ended, "t", put("lease/a", "", 0)); !errors.Is(err, ports.ErrNotApplied) {
		t.Errorf("context cancelled before sending: got %v, want ErrNotApplied", err)
	}
}

// Guards against treating a lost response as a failure, against a repeat that
// takes effect twice, and against reporting a write as not applied while its
// effect is unknown.
func TestCommitSettlesLostAnswers(t *testing.T) {
	t.Run("lost after effect", func(t *testing.T) {
		standIn, client := newTable(t, callTimeout)
		standIn.SetFaults(standin.Faults{LoseAnswers: 1})
		if err := ports.Commit(t.Context(), client, "mine", put("lease/a", "mine", 0)); err != nil {
			t.Fatal(err)
		}
		row, err := client.Get(t.Context(), "lease/a")
		if err != nil || row.Token != "mine" || row.Revision != 1 {
			t.Errorf("row after the lost response: got %+v, %v", row, err)
		}
	})
	t.Run("reset before effect", func(t *testing.T) {
		standIn, client := newTable(t, callTimeout)
		standIn.SetFaults(standin.Faults{ResetBefore: 1})
		if err := ports.Commit(t.Context(), client, "mine", put("lease/a", "mine", 0)); err != nil {
			t.Fatal(err)
		}
		if n := standIn.State().Applied; n != 1 {
			t.Errorf("got %d applied transactions, want 1", n)
		}
	})
	t.Run("lost answer of a delete", func(t *testing.T) {
		standIn, client := newTable(t, callTimeout)
		if err := client.Transact(t.Context(), "first", put("slot/a", "", 0)); err != nil {
			t.Fatal(err)
		}
		standIn.SetFaults(standin.Faults{LoseAnswers: 1})
		if err := ports.Commit(t.Context(), client, "mine", ports.Write{Key: "slot/a", Delete: true, Revision: 1}); err != nil {
			t.Error(err)
		}
	})
	t.Run("lost, then overwritten and throttled", func(t *testing.T) {
		inner := &overwritingTable{}
		inner.standIn, inner.Table = newTable(t, callTimeout)
		err := ports.Commit(t.Context(), inner, "mine", put("lease/a", "mine", 0))
		if !errors.Is(err, ports.ErrUnknown) || errors.Is(err, ports.ErrNotApplied) {
			t.Errorf("write that took effect: got %v, want only ErrUnknown", err)
		}
	})
}

// overwritingTable loses the response to the first transaction, then changes the
// row as another writer, and refuses all later transactions.
type overwritingTable struct {
	ports.Table
	standIn *table.Table
	calls   int
}

func (o *overwritingTable) Transact(ctx context.Context, token string, writes ...ports.Write) error {
	o.calls++
	if o.calls > 1 {
		return ports.ErrNotApplied
	}
	o.standIn.SetFaults(standin.Faults{LoseAnswers: 1})
	lost := o.Table.Transact(ctx, token, writes...)
	if err := o.Table.Transact(ctx, "theirs", put(writes[0].Key, "theirs", 1)); err != nil {
		return err
	}
	return lost
}

// Guards against objects that are returned altered, and against reporting an
// outage as an absent object.
func TestObjects(t *testing.T) {
	standIn := objects.New()
	client, err := awsapi.NewS3Bucket(serve(t, standIn, callTimeout), "bucket")
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	data := strings.Repeat("catalogue\x00", 100_000)
	if err := client.Put(ctx, "catalogue/1a2b", []byte(data)); err != nil {
		t.Fatal(err)
	}
	if got, err := client.Get(ctx, "catalogue/1a2b"); err != nil || string(got) != data {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
	standIn.SetSize("bucket", "weights/large", 40<<30)
	if size, err := client.Size(ctx, "weights/large"); err != nil || size != 40<<30 {
		t.Errorf("size %d, %v", size, err)
	}
	for name, c := range map[string]struct {
		faults standin.Faults
		want   error
	}{
		"absent":     {standin.Faults{}, ports.ErrNotFound},
		"outage":     {standin.Faults{Outage: standin.OutageError}, ports.ErrUnknown},
		"closed":     {standin.Faults{Outage: standin.OutageClose}, ports.ErrUnknown},
		"rate limit": {standin.Faults{Rate: 0.001}, ports.ErrNotApplied},
	} {
		standIn.SetFaults(c.faults)
		if c.faults.Rate > 0 { // spend the burst
			_, _ = client.Get(ctx, "none")
		}
		if _, err := client.Get(ctx, "none"); !errors.Is(err, c.want) {
			t.Errorf("%s: get: unexpected error %v", name, err)
		}
		if _, err := client.Size(ctx, "none"); c.want != ports.ErrNotApplied && !errors.Is(err, c.want) {
			t.Errorf("%s: size: unexpected error %v", name, err)
		}
	}
	standIn.SetFaults(standin.Faults{LoseAnswers: 1})
	if err := client.Put(ctx, "k", nil); !errors.Is(err, ports.ErrUnknown) {
		t.Errorf("put with a lost response: got %v, want ErrUnknown", err)
	}
}

// Guards against wrongly decoded instances, and against reporting instances as
// gone because of an outage or a malformed entry.
func TestInstances(t *testing.T) {
	standIn := instances.New(instances.Config{})
	client, err := awsapi.NewCloudMapInstances(serve(t, standIn, callTimeout), "hibiscusyard", "entry")
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	standIn.Register(instances.Registration{ID: "b", IP: "10.0.0.2", Port: 8443, DataCentre: "east", State: "leaving"})
	standIn.Register(instances.Registration{ID: "a", IP: "10.0.0.1", Port: 8443, DataCentre: "west", Incarnation: "i1"})
	list, err := client.List(ctx)
	want := []ports.ListedInstance{
		{ID: "a", Address: "10.0.0.1:8443", DataCentre: "west", Incarnation: "i1"},
		{ID: "b", Address: "10.0.0.2:8443", DataCentre: "east", Leaving: true},
	}
	if err != nil || len(list) != 2 || list[0] != want[0] || list[1] != want[1] {
		t.Errorf("got %+v, %v, want instances a and b", list, err)
	}
	standIn.SetFaults(standin.Faults{ListLag: duration.Duration(time.Hour)})
	if list, err := client.List(ctx); err != nil || len(list) != 0 {
		t.Errorf("lagging list: got %+v, %v, want no entries", list, err)
	}
	standIn.SetFaults(standin.Faults{Outage: standin.OutageError})
	if list, err := client.List(ctx); !errors.Is(err, ports.ErrUnknown) {
		t.Errorf("outage: got %+v, %v, want ErrUnknown", list, err)
	}
	standIn.SetFaults(standin.Faults{})
	standIn.Register(instances.Registration{ID: "c", IP: "nonsense", Port: 1})
	if list, err := client.List(ctx); err == nil {
		t.Errorf("malformed entry: got %+v and no error", list)
	}
}

// Guards against accepting endpoints that name resolution or SDK defaults could
// redirect.
func TestInvalidEndpointIsRefused(t *testing.T) {
	client := &http.Client{}
	for name, e := range map[string]awsapi.Endpoint{
		"no client":   {URL: "http://127.0.0.1:1", AccessKey: "a", SecretKey: "s"},
		"host name":   {HTTP: client, URL: "http://localhost:1", AccessKey: "a", SecretKey: "s"},
		"no scheme":   {HTTP: client, URL: "127.0.0.1:1", AccessKey: "a", SecretKey: "s"},
		"no port":     {HTTP: client, URL: "http://127.0.0.1", AccessKey: "a", SecretKey: "s"},
		"no key":      {HTTP: client, URL: "http://127.0.0.1:1"},
		"other proto": {HTTP: client, URL: "ftp://127.0.0.1:1", AccessKey: "a", SecretKey: "s"},
	} {
		if _, err := awsapi.NewDynamoTable(e, "t"); err == nil {
			t.Errorf("%s: endpoint accepted, want an error", name)
		}
	}
}
