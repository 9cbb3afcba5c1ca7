package userplatform

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// RawAnswer is an answer that an upstream writes as it stands, after it has run the
// request. The connection ends with it, unless Open is set.
type RawAnswer struct {
	Text string
	// Open leaves the connection open until the caller closes it.
	Open bool
	// Endless is repeated after Text until the caller disconnects, with Pause between
	// writes. Empty for none.
	Endless string
	Pause   time.Duration
}

// AnswerRaw sets the answers to the next requests that run, one each.
func (u *Upstream) AnswerRaw(answers ...RawAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rawAnswers = append(u.rawAnswers, answers...)
}

// nextRawAnswer returns the raw answer to the next request that runs; ok is false if there
// is none.
func (u *Upstream) nextRawAnswer() (a RawAnswer, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.rawAnswers) == 0 {
		return RawAnswer{}, false
	}
	a, u.rawAnswers = u.rawAnswers[0], u.rawAnswers[1:]
	return a, true
}

// writeEndlessly writes start and then repeats piece until the caller
// disconnects. It sleeps for pause between writes.
func writeEndlessly(w http.ResponseWriter, start, piece string, pause time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if pause == 0 {
		piece = strings.Repeat(piece, endlessWriteBytes/len(piece))
	}
	_, err = io.WriteString(conn, start)
	for err == nil {
		_, err = io.WriteString(conn, piece)
		time.Sleep(pause)
	}
}

// endlessWriteBytes is the approximate size of one write of an endless response.
const endlessWriteBytes = 32 << 10

// sendOpen writes raw bytes and waits until the caller closes the connection.
func sendOpen(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, raw); err == nil {
		io.Copy(io.Discard, conn) //nolint:errcheck // ends with the connection.
	}
}

// sendRaw writes raw bytes and closes the connection. If raw is empty, it resets
// the connection instead.
func sendRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if raw == "" {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // resets the connection if possible.
		}
		return
	}
	io.WriteString(conn, raw) //nolint:errcheck // the caller may have disconnected.
}
