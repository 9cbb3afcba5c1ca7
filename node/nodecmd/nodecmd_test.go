package nodecmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/node/nodecmd"
	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
)

const settings = `{"instance":"i","data_centre":"d","caller_listen":"127.0.0.1:1","ready_listen":"127.0.0.1:2","peer_listen":"127.0.0.1:3",
"metrics_listen":"127.0.0.1:4","store":"127.0.0.1:5","memory_mb":284,"cpu_share":0.4,"link_mbps":1000.0,
"bounds":{"revoke_ms":5000,"drain_ms":2000,"configuration_ms":2000,"grace_s":8.0,"lease_ms":3000,"budget_ratio":0.2,"budget_slack":56.0,
"budget_window_s":10,"quota_window_s":8,"quota_overage":0.1,"quota_slack":11000}}`

func run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = nodecmd.Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against starting with invalid settings, and against reporting only the
// first of several errors.
func TestValidateReportsAllErrors(t *testing.T) {
	if code, _, errOut := run("validate", "--settings", writeFile(t, settings)); code != cli.ExitOK {
		t.Fatalf("valid settings: got code %d, error output %s", code, errOut)
	}
	wrong := strings.NewReplacer(`"instance":"i"`, `"instance":""`, `"127.0.0.1:5"`, `"store.example:5"`, `"lease_ms":3000`, `"lease_ms":0`).Replace(settings)
	code, _, errOut := run("validate", "--settings", writeFile(t, wrong))
	for _, field := range []string{"instance: must be set", "store: must be an IP address", "bounds.lease_ms: must be above 0"} {
		if code != cli.ExitFailure || !strings.Contains(errOut, field) {
			t.Errorf("got code %d and error output %q, want a failure that contains %q", code, errOut, field)
		}
	}
	unknown := strings.Replace(settings, `"instance"`, `"color":1,"instance"`, 1)
	if code, _, errOut := run("validate", "--settings", writeFile(t, unknown)); code != cli.ExitFailure || !strings.Contains(errOut, "line 1") || !strings.Contains(errOut, "color") {
		t.Errorf("unknown field: got code %d, error output %q", code, errOut)
	}
	t.Setenv("HIBISCUSYARD_SETTINGS", "")
	if code, _, _ := run("validate"); code != cli.ExitUsage {
		t.Errorf("no settings file: got code %d, want a usage error", code)
	}
}

// Guards the explain command, the entry point of an on-call engineer: it must print
// the lines of a known request and fail for an unknown one.
func TestExplain(t *testing.T) {
	path := writeFile(t, `{"fields":{"instance":"i","request":"r1","code":"rate_limited"},"level":"info","timestamp":"2026-01-01T00:00:10Z","message":"request refused"}`)
	if code, out, _ := run("explain", "r1", path); code != cli.ExitOK || !strings.Contains(out, "code=rate_limited") {
		t.Errorf("explain: got code %d, output %q", code, out)
	}
	if code, _, errOut := run("explain", "r2", path); code != cli.ExitFailure || !strings.Contains(errOut, "r2") {
		t.Errorf("explain of an unknown request: got code %d, error output %q", code, errOut)
	}
}

// Guards the explanation of a usage window: who reported it and when.
func TestExplainWindow(t *testing.T) {
	path := writeFile(t, `{"fields":{"instance":"i","window":353445120,"token":3},"level":"info","timestamp":"2026-01-01T00:00:10Z","message":"usage reported"}`)
	if code, out, _ := run("explain", "window:353445120", path); code != cli.ExitOK || !strings.Contains(out, "usage reported: token=3 window=353445120") {
		t.Errorf("explain: got code %d, output %q", code, out)
	}
	for _, unknown := range []string{"window:353445121", "window:x"} {
		if code, _, errOut := run("explain", unknown, path); code != cli.ExitFailure || !strings.Contains(errOut, "window") {
			t.Errorf("explain of %s: got code %d, error output %q", unknown, code, errOut)
		}
	}
}

// fillTemplate fills in the settings template: values by placeholder, 1 for others. A
// section is kept if it has a value.
func fillTemplate(t *testing.T, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	text := string(template)
	for {
		before, rest, found := strings.Cut(text, "{{#")
		if !found {
			break
		}
		name, rest, _ := strings.Cut(rest, "}}")
		section, after, closed := strings.Cut(rest, "{{/"+name+"}}")
		if !closed {
			t.Fatalf("the section %s has no end", name)
		}
		if _, present := values[name]; !present {
			section = ""
		}
		text = before + section + after
	}
	for {
		before, rest, found := strings.Cut(text, "{{")
		if !found {
			return text
		}
		name, after, _ := strings.Cut(rest, "}}")
		value, ok := values[strings.TrimSuffix(name, "|json")]
		if !ok {
			value = "1"
		}
		text = before + value + after
	}
}

// Guards the settings template that the platform fills in: the result must be valid
// JSON with only fields that the daemon knows, with and without each optional value.
func TestTemplateFitsTheSettings(t *testing.T) {
	values := func(more ...string) map[string]string {
		v := map[string]string{
			"nodeName": `"i"`, "zone": `"d"`, "listen.front": `"127.0.0.1:1"`, "listen.ready": `"127.0.0.1:2"`, "ipAddress": "127.0.0.1",
			"internalPorts.0": "3", "internalPorts.1": "4", "platform.address": `"127.0.0.1:5"`,
		}
		for i := 0; i < len(more); i += 2 {
			v[more[i]] = more[i+1]
		}
		return v
	}
	for name, v := range map[string]map[string]string{
		"no duties":   values(),
		"empty list":  values("cloud.address", `"127.0.0.1:6"`, "cloud.duties", `""`, "cloud.dutyPerS", "50", "bounds.usageWindowS", "5"),
		"address":     values("cloud.address", `"127.0.0.1:6"`),
		"only limits": values("cloud.dutyPerS", "50", "bounds.usageLateS", "10"),
		"all": values("cloud.address", `"127.0.0.1:6"`, "cloud.duties", `"usage_reporting,autoscaling"`, "cloud.dutyPerS", "50",
			"bounds.usageWindowS", "5", "bounds.usageLateS", "10"),
	} {
		filled := fillTemplate(t, v)
		if code, _, errOut := run("validate", "--settings", writeFile(t, filled)); code != cli.ExitOK {
			t.Errorf("%s: filled template: got code %d, error output %s\n%s", name, code, errOut, filled)
		}
	}
}
