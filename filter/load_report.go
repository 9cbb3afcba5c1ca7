package filter

import (
	"encoding/json"
	"net/http"
	"strings"
)

// loadReport holds the fields of an ORCA load report that the balancer uses.
type loadReport struct {
	Utilization  float64 `json:"application_utilization"`
	NamedMetrics struct {
		RequestsInFlight *float64 `json:"requests_in_flight"`
	} `json:"named_metrics"`
}

// reportedRequests returns the number of requests in flight at an upstream
// according to the load report in the headers of a response. If the report has
// only a utilization, it is multiplied by the upstream's concurrency.
func reportedRequests(header http.Header, concurrency int) (float64, bool) {
	text, ok := strings.CutPrefix(header.Get(LoadHeader), "JSON ")
	if !ok {
		return 0, false
	}
	var report loadReport
	if json.Unmarshal([]byte(text), &report) != nil || report.Utilization < 0 {
		return 0, false
	}
	if n := report.NamedMetrics.RequestsInFlight; n != nil && *n >= 0 {
		return *n, true
	}
	return report.Utilization * float64(concurrency), true
}
