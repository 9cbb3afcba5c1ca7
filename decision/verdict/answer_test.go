package verdict_test

import (
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Guards against any status or combination of headers with which an answer tells a caller
// more than the upstream has said: "not run" for a request that may have run, a success
// that is not the upstream's own, or a failure without its signature.
func TestNoAnswerSaysMoreThanItsUpstream(t *testing.T) {
	flags := []bool{false, true}
	for status := 200; status < 1000; status++ {
		for _, own := range flags {
			for _, signed := range flags {
				for _, encoded := range flags {
					for _, events := range flags {
						for _, notRun := range flags {
							for _, e := range []verdict.Expected{{}, {Events: true}, {Events: true, Begun: true}} {
								checkUse(t, verdict.Answer{Status: status, Own: own, Signed: signed, Encoded: encoded, Events: events, NotRun: notRun}, e)
							}
						}
					}
				}
			}
		}
	}
}

func checkUse(t *testing.T, a verdict.Answer, e verdict.Expected) {
	t.Helper()
	use, problem := a.Judge(e)
	if (use == verdict.Discard) != (problem != "") {
		t.Errorf("%+v %+v: use %d with problem %q", a, e, use, problem)
	}
	success := a.Status < 300
	declined := a.NotRun && a.Own && !success
	if (use == verdict.Decline) != declined {
		t.Errorf("%+v %+v: declined %t, want %t", a, e, use == verdict.Decline, declined)
	}
	passed := use == verdict.PassBody || use == verdict.PassEvents
	switch promise := a.Status == 408 || a.Status == 421 || a.Status == 429 || a.Status == 503; {
	case !passed:
		sound := a.Own && a.Signed && !a.Encoded && !a.NotRun
		if sound && success && (a.Events || !e.Events) || sound && !success && !promise && !e.Begun {
			t.Errorf("%+v %+v: a sound answer is not passed on", a, e)
		}
	case a.NotRun, promise, !a.Signed:
		t.Errorf("%+v %+v is passed on", a, e)
	case success && (!a.Own || a.Encoded || e.Events && !a.Events):
		t.Errorf("%+v %+v is passed on as a success", a, e)
	case e.Begun && use != verdict.PassEvents:
		t.Errorf("%+v %+v follows a part of a stream", a, e)
	}
}
