package userplatform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// stallInterval is the time between two bytes of a stalled stream.
const stallInterval = 20 * time.Millisecond

// respond runs an admitted request and writes its response.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, fault Fault) {
	if _, work := u.currentPace(); !duration.Sleep(r.Context(), work) {
		return
	}
	if a, ok := u.nextRawAnswer(); ok && a.Endless != "" {
		writeEndlessly(w, a.Text, a.Endless, a.Pause)
		return
	} else if ok && a.Open {
		sendOpen(w, a.Text)
		return
	} else if ok {
		sendRaw(w, a.Text)
		return
	}
	switch fault {
	case ResetAfter:
		sendRaw(w, "")
		return
	case ForeignResponseFirst:
		const body = "not yours"
		sendRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n%s: x\r\nContent-Length: %d\r\n\r\n%s"+
			"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: 5\r\n\r\nyours",
			HeaderID, HeaderSignature, len(body), body, HeaderID, r.Header.Get(HeaderID), HeaderSignature))
		return
	case RefusalFirst:
		sendRaw(w, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n"+
			"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: 5\r\n\r\nyours",
			HeaderNotExecuted, HeaderID, r.Header.Get(HeaderID), HeaderSignature))
		return
	case ClosedStream:
		sendRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Type: text/event-stream\r\n\r\n",
			HeaderID, r.Header.Get(HeaderID), HeaderSignature))
		return
	case EndlessHeader:
		writeEndlessly(w, "HTTP/1.1 200 OK\r\n", "X-Noise: on and on\r\n", 0)
		return
	case EndlessBody:
		writeEndlessly(w, u.responseHead(r, "text/plain"), "bytes without end ", 0)
		return
	case StalledStream:
		writeEndlessly(w, u.responseHead(r, "text/event-stream"), ":", stallInterval)
		return
	case UnframedResponse, UnframedReset, UnframedCut:
		u.respondUnframed(w, r, fault)
		return
	case ErrorEvents:
		w.Header().Set(HeaderSignature, "x")
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "id: 1000\ndata: internal error\n\n") //nolint:errcheck // the caller may have disconnected.
		return
	case ErrorResponse:
		w.Header().Set(HeaderSignature, "x")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if fault != Unsigned {
		w.Header().Set(HeaderSignature, "signature-of-"+u.ID)
	}
	if u.Engine != nil {
		u.Engine.stream(w, r, fault)
		return
	}
	if u.crashIfTriggered(r) {
		<-r.Context().Done()
		return
	}
	answer := fmt.Sprintf("answer of %s to %s", u.ID, r.Header.Get(HeaderID))
	io.WriteString(w, answer+strings.Repeat(".", max(u.AnswerBytes-len(answer), 0))) //nolint:errcheck // the caller may have disconnected.
}

// responseHead returns the header of a successful response whose body ends when
// the connection closes.
func (u *Upstream) responseHead(r *http.Request, mediaType string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Type: %s\r\n\r\n", HeaderID, r.Header.Get(HeaderID), HeaderSignature, mediaType)
}

// respondUnframed writes a response whose end only the end of its connection marks, or a
// part of one.
func (u *Upstream) respondUnframed(w http.ResponseWriter, r *http.Request, fault Fault) {
	mediaType, pieces := "text/plain", []string{"answer of " + u.ID, " to " + r.Header.Get(HeaderID)}
	if u.Engine != nil {
		mediaType, pieces = "text/event-stream", nil
		last, _ := strconv.Atoi(r.Header.Get(HeaderResume)) // 0 from the beginning
		events, _ := u.currentPace()
		for id := last + 1; id <= events; id++ {
			pieces = append(pieces, u.event(id))
		}
	}
	if fault != UnframedResponse {
		half := len(pieces) / 2
		rest := strings.Join(pieces[half:], "")
		pieces = pieces[:half]
		if fault == UnframedCut {
			pieces = append(pieces, rest[:min(len(rest), 8)])
		}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	io.WriteString(conn, u.responseHead(r, mediaType)+strings.Join(pieces, "")) //nolint:errcheck // the caller may have disconnected.
	if tcp, ok := conn.(*net.TCPConn); ok && fault == UnframedReset {
		duration.Sleep(r.Context(), resetDelay) // a reset discards what has not been read yet
		tcp.SetLinger(0)                        //nolint:errcheck // resets the connection if possible.
	}
}

// resetDelay is the time between the last bytes of a response and the reset of its
// connection.
const resetDelay = 20 * time.Millisecond
