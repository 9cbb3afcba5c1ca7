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

func run(args ...string) (code int, out, failure string) {
	var stdout, stderr bytes.Buffer
	code = nodecmd.Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against settings that are wrong and start nevertheless, and against
// errors told one by one.
func TestValidateReportsAllErrors(t *testing.T) {
	if code, _, failure := run("validate", "--settings", write(t, settings)); code != cli.Done {
		t.Fatalf("valid settings: %d %s", code, failure)
	}
	wrong := strings.NewReplacer(`"instance":"i"`, `"instance":""`, `"127.0.0.1:5"`, `"store.example:5"`, `"lease_ms":3000`, `"lease_ms":0`).Replace(settings)
	code, _, failure := run("validate", "--settings", write(t, wrong))
	for _, field := range []string{"instance: must be set", "store: must be an IP address", "bounds.lease_ms: must be above 0"} {
		if code != cli.Failed || !strings.Contains(failure, field) {
			t.Errorf("code %d, %q lacks %q", code, failure, field)
		}
	}
	unknown := strings.Replace(settings, `"instance"`, `"color":1,"instance"`, 1)
	if code, _, failure := run("validate", "--settings", write(t, unknown)); code != cli.Failed || !strings.Contains(failure, "line 1") || !strings.Contains(failure, "color") {
		t.Errorf("unknown field: %d %q", code, failure)
	}
	t.Setenv("HIBISCUSYARD_SETTINGS", "")
	if code, _, _ := run("validate"); code != cli.Usage {
		t.Errorf("no file: %d", code)
	}
}

// Guards the command that an on-call engineer starts from.
func TestExplain(t *testing.T) {
	path := write(t, `{"fields":{"instance":"i","request":"r1","code":"rate_limited"},"level":"info","timestamp":"2026-01-01T00:00:10Z","message":"request refused"}`)
	if code, out, _ := run("explain", "r1", path); code != cli.Done || !strings.Contains(out, "code=rate_limited") {
		t.Errorf("explain: %d %q", code, out)
	}
	if code, _, failure := run("explain", "r2", path); code != cli.Failed || !strings.Contains(failure, "r2") {
		t.Errorf("explain of an unknown request: %d %q", code, failure)
	}
}

// Guards the template that the platform fills in: it must stay valid JSON with
// the fields that the daemon knows.
func TestTemplateFitsTheSettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	filled := strings.NewReplacer(
		"{{nodeName|json}}", `"i"`, "{{zone|json}}", `"d"`, "{{listen.front|json}}", `"127.0.0.1:1"`, "{{listen.ready|json}}", `"127.0.0.1:2"`,
		"{{ipAddress}}:{{internalPorts.0}}", "127.0.0.1:3", "{{ipAddress}}:{{internalPorts.1}}", "127.0.0.1:4",
		"{{platform.address|json}}", `"127.0.0.1:5"`,
	).Replace(string(template))
	for strings.Contains(filled, "{{") {
		start := strings.Index(filled, "{{")
		end := strings.Index(filled, "}}")
		filled = filled[:start] + "1" + filled[end+2:]
	}
	if code, _, failure := run("validate", "--settings", write(t, filled)); code != cli.Done {
		t.Errorf("the filled template is not valid: %d %s\n%s", code, failure, filled)
	}
}
