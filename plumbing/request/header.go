package request

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end headers. It omits hop-by-hop headers and
// those listed in Connection. The value slices are shared.
func CopyHeader(to, from http.Header) {
	drop := map[string]bool{}
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !drop[name] {
			to[name] = values
		}
	}
}
