package experiment

import (
	"testing"
	"time"
)

// Guards against an experiment in which the policies show no difference, and
// against over-admission under any of them.
func TestQuotaPolicies(t *testing.T) {
	for _, pattern := range quotaPatterns[:4] {
		pattern.length = time.Minute
		if pattern.crashAt > 0 {
			pattern.crashAt, pattern.restartAt = 10*time.Second, 30*time.Second
		}
		scores := NewQuota(nil).run(pattern)
		grants, static, ideal := scores[0], scores[1], scores[2]
		for i, s := range scores {
			if s.overAdmission > 1e-6 {
				t.Errorf("%s, %s: got over-admission of %.3f tokens, want 0", pattern.name, quotaPolicies[i].name, s.overAdmission)
			}
			if s.requests == 0 || s.admitted+s.refused > s.requests || s.requests-s.admitted-s.refused > 10 {
				t.Errorf("%s, %s: got %d requests, %d admitted and %d refused, want all but 10 decided", pattern.name, quotaPolicies[i].name, s.requests, s.admitted, s.refused)
			}
		}
		if ideal.wronglyRefused != 0 || grants.wrongRefusalShare() > static.wrongRefusalShare()/3 || grants.worstShare(ideal) < static.worstShare(ideal) {
			t.Errorf("%s: got a wrong refusal share of %.4f with grants and %.4f with a static split, and a worst workspace share of %.2f and %.2f",
				pattern.name, grants.wrongRefusalShare(), static.wrongRefusalShare(), grants.worstShare(ideal), static.worstShare(ideal))
		}
	}
}

// Guards against a check that misses over-admission.
func TestWorstWindow(t *testing.T) {
	charges := []quotaCharge{{0, 5}, {time.Second, 30}, {2 * time.Second, 20}, {time.Minute, 30}}
	if got := worstWindow(charges, 10); got != 40 {
		t.Errorf("got worst window %v, want 30+20-10", got)
	}
}
