package command

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/traffic"
)

// testForm is a form of the configuration with the names of package traffic. The store of the address "store" holds inForce.
func testForm(inForce string) ConfigForm {
	return ConfigForm{
		Decode: func(raw []byte) (*traffic.Config, *traffic.Finding) {
			var config traffic.Config
			if err := json.Unmarshal(raw, &config); err != nil {
				return nil, &traffic.Finding{Class: traffic.Invalid, Object: traffic.Object{Kind: traffic.KindConfig}, Value: err.Error(), Allowed: "JSON"}
			}
			config.BuildIndex()
			return &config, nil
		},
		ReadInForce: func(_ context.Context, address string) ([]byte, error) {
			if address != "store" {
				return nil, errors.Wrap(objectapi.ErrUnavailable, address)
			}
			return []byte(inForce), nil
		},
		FieldName: func(f traffic.Field) string { return strings.ReplaceAll(string(f), " ", "-") },
		KindName:  func(k traffic.ObjectKind) string { return string(k) },
	}
}

const soundConfig = `{"Version":4,
"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Timeout":1000000000,"LatencyObjective":500000000,"Attempts":2,"Targets":[{"Service":"s","Weight":1}]}],
"Services":{"s":{"Name":"s"}},
"Organisations":[{"Name":"o","APIKeys":["secret"],"RatePerSecond":5,"Burst":10}]}`

// faultyConfig has an error, two entries that never match and two limits that contradict each other.
const faultyConfig = `{"Version":4,
"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Timeout":1000000000,"LatencyObjective":2000000000,"Attempts":-1,"Targets":[{"Service":"s","Weight":1}]},
 {"Name":"q","Host":"h","PathPrefix":"/","Targets":[{"Service":"s","Weight":1}]}],
"Services":{"s":{"Name":"s"},"t":{"Name":"t"}},
"Organisations":[{"Name":"o","APIKeys":["secret"],"RatePerSecond":5,"Burst":0.5}]}`

// Guards against unintended changes of the findings, differences and exit codes of config check.
func TestConfigCheckOutput(t *testing.T) {
	other := filepath.Join(t.TempDir(), "other.json")
	if err := os.WriteFile(other, []byte(strings.Replace(soundConfig, `"Version":4`, `"Version":3`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Chdir(filepath.Dir(other))
	form := testForm(strings.Replace(soundConfig, `"Burst":10`, `"Burst":20`, 1))
	checkGoldenWithForm(t, "config_check", form, func(s *session) {
		s.runCommand(soundConfig, "config", "check", "-")
		s.runCommand(soundConfig, "config", "check", "-", "--json")
		s.runCommand(faultyConfig, "config", "check", "-")
		s.runCommand(faultyConfig, "config", "check", "-", "--against", "other.json")
		s.runCommand(faultyConfig, "config", "check", "-", "--against", "other.json", "--json")
		s.runCommand(soundConfig, "config", "check", "-", "--against", "in-force", "--store", "store")
		s.runCommand(strings.Replace(soundConfig, `"Version":4`, `"Version":5`, 1), "config", "check", "-", "--against", "in-force", "--store", "store", "-o", "json")
		s.runCommand(strings.Replace(soundConfig, `"Burst":10`, `"Burst":20`, 1), "config", "check", "-", "--against", "in-force", "--store", "store")
		noKeys := strings.Replace(strings.Replace(soundConfig, `"Version":4`, `"Version":5`, 1), `["secret"]`, `[]`, 1)
		s.runCommand(noKeys, "config", "check", "-", "--against", "other.json")
		s.runCommand(strings.Replace(noKeys, `"Version":5`, `"Version":5,"Callers":1`, 1), "config", "check", "-", "--against", "other.json")
		s.runCommand("{{{", "config", "check", "-")
	})
	checkGoldenWithForm(t, "config_not_checked", form, func(s *session) {
		s.runCommand("", "config")
		s.runCommand("", "config", "check")
		s.runCommand(soundConfig, "config", "check", "missing.json")
		s.runCommand(soundConfig, "config", "check", "-", "--against", "missing.json")
		s.runCommand(soundConfig, "config", "check", "-", "--against", "in-force")
		s.runCommand(soundConfig, "config", "check", "-", "--against", "in-force", "--store", "nowhere")
		s.runCommand(soundConfig, "config", "check", "-", "--host-memory-mb", "0")
		s.runCommand("", "config", "check", "--help")
	})
}
