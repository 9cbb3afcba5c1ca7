package experiment

import (
	"testing"
	"time"
)

// Guards against an experiment that cannot tell the policies apart, and
// against over-admission in any of them.
func TestQuotaPolicies(t *testing.T) {
	for _, pattern := range quotaPatterns[:4] {
		pattern.length = time.Minute
		if pattern.crashAt > 0 {
			pattern.crashAt, pattern.restartAt = 10*time.Second, 30*time.Second
		}
		scores := NewQuota(nil).run(pattern)
		grants, static, ideal := scores[0], scores[1], scores[2]
		for i, s := range scores {
			if s.over > 1e-6 {
				t.Errorf("%s, %s: over-admission of %.3f tokens", pattern.name, quotaPolicies[i].name, s.over)
			}
			if s.requests == 0 || s.admitted+s.refused > s.requests || s.requests-s.admitted-s.refused > 10 {
				t.Errorf("%s, %s: %d requests, %d admitted, %d refused", pattern.name, quotaPolicies[i].name, s.requests, s.admitted, s.refused)
			}
		}
		if ideal.wrong != 0 || grants.wrongShare() > static.wrongShare()/3 || grants.worst(ideal) < static.worst(ideal) {
			t.Errorf("%s: wrongly refused %.4f against %.4f with a static split; worst workspace %.2f against %.2f",
				pattern.name, grants.wrongShare(), static.wrongShare(), grants.worst(ideal), static.worst(ideal))
		}
	}
}

// Guards against a checker that sees no over-admission.
func TestWorstWindow(t *testing.T) {
	charges := []quotaCharge{{0, 5}, {time.Second, 30}, {2 * time.Second, 20}, {time.Minute, 30}}
	if got := worstWindow(charges, 10); got != 40 {
		t.Errorf("worst window of %v, want 30+20-10", got)
	}
}
