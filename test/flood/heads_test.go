package flood

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// manyConnections is the same machine with more descriptors, so that memory and not their
// number bounds the connections.
var manyConnections = limits{memoryMB: memoryMB, descriptorLimit: 2048, maxDescriptors: 1792}

const (
	// headCrowd is the number of clients whose heads take more memory than they have bytes.
	headCrowd = 480
	// headBytes is the length of such a head, within the limit of the desired state.
	headBytes = 15 << 10
	// trailerBytes is the length of fields behind a body, within the server's buffer.
	trailerBytes = 4000
	// pipelined is the number of requests that a client sends behind one another.
	pipelined = 20
)

// Guards against heads that take more memory once they are parsed than they have bytes:
// they are within the limits, and are kept until the request ends.
func TestProcessOutlivesExpensiveHeads(t *testing.T) {
	oneName, names, parts := fields(headBytes, false), fields(headBytes, true), promptParts(headBytes)
	for _, form := range []struct {
		name   string
		client client
	}{
		{"fields of one name, body short of its end", stopShort(oneName)},
		{"fields of different names, body short of its end", stopShort(names)},
		{"fields of different names that do not end", stopInHead(names)},
		{"fields of different names for a model that is not loaded", awaitModel(names)},
		{"parts of prompts, body short of its end", stopShort(parts)},
		{"parts of prompts for a model that is not loaded", awaitModel(parts)},
		{"options of the connection", readNothing(connectionOptions(headBytes))},
		{"requests behind one another", readNothing(names)},
		{"fields behind a body of another request", stopInSecondHead(names)},
		{"trailers for a model that is not loaded", trailersForModel(fields(trailerBytes, true))},
		{"trailers behind one another", trailersForLookup(fields(trailerBytes, true))},
		{"long targets, body short of its end", stopBehindTarget(headBytes)},
	} {
		t.Run(form.name, func(t *testing.T) {
			newInstance(t, manyConnections).outlive(headCrowd, form.client)
		})
	}
}

// Guards against bounds that refuse a single request within the limits.
func TestExpensiveHeadIsServedInCalm(t *testing.T) {
	i := newInstance(t, manyConnections)
	for _, fields := range []string{fields(headBytes, false), fields(headBytes, true), promptParts(headBytes), connectionOptions(headBytes)} {
		conn, err := net.Dial("tcp", i.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		i.send(conn, head("POST", "/signup/1", "calm")+fields+"Content-Length: 1\r\n\r\nb")
		conn.SetReadDeadline(time.Now().Add(clientTimeout)) //nolint:errcheck // the read fails then.
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("head with %.20q...: %v, %v", fields, response, err)
		}
	}
}

// fields returns short fields with a total length of at most n bytes, which have different
// names or all the same.
func fields(n int, different bool) string {
	var b strings.Builder
	for k := 0; ; k++ {
		field := "a:\r\n"
		if different {
			field = "a" + strconv.FormatInt(int64(k), 36) + ":\r\n"
		}
		if b.Len()+len(field) > n {
			return b.String()
		}
		b.WriteString(field)
	}
}

// promptParts returns a field of n bytes that names many parts of a prompt.
func promptParts(n int) string {
	const part = "a:1,"
	return userplatform.HeaderPrefix + ": " + strings.Repeat(part, n/len(part)) + "b:1\r\n"
}

// connectionOptions returns a field of n bytes that names many fields of the connection.
func connectionOptions(n int) string {
	var b strings.Builder
	for k := 0; b.Len() < n; k++ {
		b.WriteString("," + strconv.FormatInt(int64(k), 36))
	}
	return "Connection: x" + b.String() + "\r\n"
}

// stopShort returns a client whose body stops before its end.
func stopShort(fields string) client {
	return func(i *instance, n int, conn net.Conn) {
		i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+fields+"Content-Length: 2\r\n\r\nb")
	}
}

// stopInHead returns a client whose head stops before its end.
func stopInHead(fields string) client {
	return func(i *instance, n int, conn net.Conn) {
		i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+fields)
	}
}

// stopInSecondHead returns a client whose second request, sent at once with the first,
// stops before the end of its head.
func stopInSecondHead(fields string) client {
	return func(i *instance, n int, conn net.Conn) {
		i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+"Content-Length: 1\r\n\r\nb"+
			head("POST", "/signup/1", fmt.Sprint("d", n))+fields)
	}
}

// stopBehindTarget returns a client with a request target of n bytes whose body stops
// before its end.
func stopBehindTarget(n int) client {
	path := "/signup/" + strings.Repeat("%41", n/len("%41"))
	return func(i *instance, c int, conn net.Conn) {
		i.send(conn, head("POST", path, fmt.Sprint("c", c))+"Content-Length: 2\r\n\r\nb")
	}
}

// awaitModel returns a client that asks for a model which is not loaded.
func awaitModel(fields string) client {
	return func(i *instance, n int, conn net.Conn) {
		i.send(conn, head("POST", "/drafts/1", fmt.Sprint("c", n))+userplatform.HeaderModel+": letters\r\n"+
			userplatform.HeaderTokens+": 100,20\r\n"+fields+"\r\n")
	}
}

// chunked is the end of a head and a chunked body before its trailer.
const chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n"

// trailersForModel returns a client that asks for a model which is not loaded, with fields
// behind the body.
func trailersForModel(fields string) client {
	return func(i *instance, n int, conn net.Conn) {
		i.send(conn, head("POST", "/drafts/1", fmt.Sprint("c", n))+userplatform.HeaderModel+": letters\r\n"+
			userplatform.HeaderTokens+": 100,20\r\n"+chunked+fields+"\r\n")
	}
}

// trailersForLookup returns a client that sends requests with fields behind their bodies
// behind one another, and reads no answer.
func trailersForLookup(fields string) client {
	return func(i *instance, n int, conn net.Conn) {
		conn.(*net.TCPConn).SetReadBuffer(4 << 10) //nolint:errcheck // the system keeps more of the answers then.
		for round := range pipelined {
			if !i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n, "-", round))+chunked+fields+"\r\n") {
				return
			}
		}
	}
}

// readNothing returns a client that sends requests behind one another and reads no answer.
func readNothing(fields string) client {
	return func(i *instance, n int, conn net.Conn) {
		conn.(*net.TCPConn).SetReadBuffer(4 << 10) //nolint:errcheck // the system keeps more of the answers then.
		for round := range pipelined {
			if !i.send(conn, head("GET", "/lookup/1", fmt.Sprint("c", n, "-", round))+fields+"\r\n") {
				return
			}
		}
	}
}
