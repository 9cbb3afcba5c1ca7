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

// callTimeout is generous for calls that are answered; calls that hang in a
// test use a short one.
const callTimeout = 10 * time.Second

// serve runs a stand-in and returns how to reach it.
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
	stand := table.New(table.Config{PageSize: 2})
	client, err := awsapi.NewDynamoTable(serve(t, stand, timeout), "hibiscusyard")
	if err != nil {
		t.Fatal(err)
	}
	return stand, client
}

func put(key, value string, revision uint64) ports.Write {
	return ports.Write{Key: key, Value: []byte(value), Revision: revision}
}

// Guards against rows that come back changed, pages that are left out, checks
// and deletes that do not hold, and expiry that is not stored.
func TestTableRoundTrip(t *testing.T) {
	stand, client := newTable(t, callTimeout)
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
		t.Errorf("rows over several pages: %s", got)
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
		t.Errorf("updated row: %+v, %v", row, err)
	}
	for _, key := range []string{"slot/c", "slot/d", "slot/none"} {
		if _, err := client.Get(ctx, key); !errors.Is(err, ports.ErrNotFound) {
			t.Errorf("%s, which was deleted, has expired or never was: %v", key, err)
		}
	}
	if n := stand.State().Transactions; n != 6 {
		t.Errorf("%d transactions were sent for 6 calls", n)
	}
}

// Guards against telling callers the wrong thing about a write: a lost or
// timed-out write that is called not applied is decided twice, and a refused
// one that is called unknown is never repeated.
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
			stand, client := newTable(t, max(c.timeout, 0))
			if c.timeout == 0 {
				stand, client = newTable(t, callTimeout)
			}
			if c.timeout == 0 {
				if err := client.Transact(t.Context(), "first", put("lease/held", "y", 0)); err != nil {
					t.Fatal(err)
				}
			}
			if c.faults.Rate > 0 { // spend the burst
				stand.SetFaults(c.faults)
				_, _ = client.Get(t.Context(), "lease/held")
			}
			stand.SetFaults(c.faults)
			write := c.write
			if write.Key == "" {
				write = put("lease/new", "x", 0)
			}
			before := stand.State().Requests
			err := client.Transact(t.Context(), "second", write)
			for _, class := range []error{ports.ErrConflict, ports.ErrNotApplied, ports.ErrUnknown, ports.ErrNotFound} {
				if errors.Is(err, class) != (class == c.want) {
					t.Errorf("is %q: %t, want only %q: %v", class, errors.Is(err, class), c.want, err)
				}
			}
			if n := stand.State().Requests - before; n != 1 {
				t.Errorf("one call sent %d requests; the client must not retry", n)
			}
			stand.SetFaults(standin.Faults{})
			_, err = client.Get(t.Context(), "lease/new")
			if applied := err == nil; applied != c.applied {
				t.Errorf("in effect: %t, want %t", applied, c.applied)
			}
		})
	}
}

// Guards against treating a table that was never reached as one that may have
// written.
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
		t.Errorf("connection refused: %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.Transact(ended, "t", put("lease/a", "", 0)); !errors.Is(err, ports.ErrNotApplied) {
		t.Errorf("never sent: %v", err)
	}
}

// Guards against a lost answer that is taken for a failure, or repeated with a
// second effect, and against a claim of no effect while the effect is unknown.
func TestCommitSettlesLostAnswers(t *testing.T) {
	t.Run("lost after effect", func(t *testing.T) {
		stand, client := newTable(t, callTimeout)
		stand.SetFaults(standin.Faults{LoseAnswers: 1})
		if err := ports.Commit(t.Context(), client, "mine", put("lease/a", "mine", 0)); err != nil {
			t.Fatal(err)
		}
		row, err := client.Get(t.Context(), "lease/a")
		if err != nil || row.Token != "mine" || row.Revision != 1 {
			t.Errorf("row after the lost answer: %+v, %v", row, err)
		}
	})
	t.Run("reset before effect", func(t *testing.T) {
		stand, client := newTable(t, callTimeout)
		stand.SetFaults(standin.Faults{ResetBefore: 1})
		if err := ports.Commit(t.Context(), client, "mine", put("lease/a", "mine", 0)); err != nil {
			t.Fatal(err)
		}
		if n := stand.State().Applied; n != 1 {
			t.Errorf("applied %d times", n)
		}
	})
	t.Run("lost answer of a delete", func(t *testing.T) {
		stand, client := newTable(t, callTimeout)
		if err := client.Transact(t.Context(), "first", put("slot/a", "", 0)); err != nil {
			t.Fatal(err)
		}
		stand.SetFaults(standin.Faults{LoseAnswers: 1})
		if err := ports.Commit(t.Context(), client, "mine", ports.Write{Key: "slot/a", Delete: true, Revision: 1}); err != nil {
			t.Error(err)
		}
	})
	t.Run("lost, then overwritten and throttled", func(t *testing.T) {
		inner := &overwritten{}
		inner.stand, inner.Table = newTable(t, callTimeout)
		err := ports.Commit(t.Context(), inner, "mine", put("lease/a", "mine", 0))
		if !errors.Is(err, ports.ErrUnknown) || errors.Is(err, ports.ErrNotApplied) {
			t.Errorf("a write that took effect is reported as: %v", err)
		}
	})
}

// overwritten loses the answer to the first transaction, lets another writer
// change the row, and refuses all later transactions.
type overwritten struct {
	ports.Table
	stand *table.Table
	calls int
}

func (o *overwritten) Transact(ctx context.Context, token string, writes ...ports.Write) error {
	o.calls++
	if o.calls > 1 {
		return ports.ErrNotApplied
	}
	o.stand.SetFaults(standin.Faults{LoseAnswers: 1})
	lost := o.Table.Transact(ctx, token, writes...)
	if err := o.Table.Transact(ctx, "theirs", put(writes[0].Key, "theirs", 1)); err != nil {
		return err
	}
	return lost
}

// Guards against objects that come back changed, and against taking an outage
// for an absent object.
func TestObjects(t *testing.T) {
	stand := objects.New()
	client, err := awsapi.NewS3Bucket(serve(t, stand, callTimeout), "bucket")
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
	stand.SetSize("bucket", "weights/large", 40<<30)
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
		stand.SetFaults(c.faults)
		if c.faults.Rate > 0 { // spend the burst
			_, _ = client.Get(ctx, "none")
		}
		if _, err := client.Get(ctx, "none"); !errors.Is(err, c.want) {
			t.Errorf("%s: get: %v", name, err)
		}
		if _, err := client.Size(ctx, "none"); c.want != ports.ErrNotApplied && !errors.Is(err, c.want) {
			t.Errorf("%s: size: %v", name, err)
		}
	}
	stand.SetFaults(standin.Faults{LoseAnswers: 1})
	if err := client.Put(ctx, "k", nil); !errors.Is(err, ports.ErrUnknown) {
		t.Errorf("lost answer of a put: %v", err)
	}
}

// Guards against instances that are misread, and against taking an outage or a
// malformed entry for instances that have gone.
func TestInstances(t *testing.T) {
	stand := instances.New(instances.Config{})
	client, err := awsapi.NewCloudMapInstances(serve(t, stand, callTimeout), "hibiscusyard", "entry")
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	stand.Register(instances.Registration{ID: "b", IP: "10.0.0.2", Port: 8443, DataCentre: "east", State: "leaving"})
	stand.Register(instances.Registration{ID: "a", IP: "10.0.0.1", Port: 8443, DataCentre: "west", Incarnation: "i1"})
	list, err := client.List(ctx)
	want := []ports.ListedInstance{
		{ID: "a", Address: "10.0.0.1:8443", DataCentre: "west", Incarnation: "i1"},
		{ID: "b", Address: "10.0.0.2:8443", DataCentre: "east", Leaving: true},
	}
	if err != nil || len(list) != 2 || list[0] != want[0] || list[1] != want[1] {
		t.Errorf("list %+v, %v", list, err)
	}
	stand.SetFaults(standin.Faults{ListLag: duration.Duration(time.Hour)})
	if list, err := client.List(ctx); err != nil || len(list) != 0 {
		t.Errorf("a lagging list shows %+v, %v", list, err)
	}
	stand.SetFaults(standin.Faults{Outage: standin.OutageError})
	if list, err := client.List(ctx); !errors.Is(err, ports.ErrUnknown) {
		t.Errorf("outage: %+v, %v", list, err)
	}
	stand.SetFaults(standin.Faults{})
	stand.Register(instances.Registration{ID: "c", IP: "nonsense", Port: 1})
	if list, err := client.List(ctx); err == nil {
		t.Errorf("malformed entry: %+v", list)
	}
}

// Guards against endpoints that name resolution or defaults could redirect.
func TestEndpointIsChecked(t *testing.T) {
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
			t.Errorf("%s: accepted", name)
		}
	}
}
