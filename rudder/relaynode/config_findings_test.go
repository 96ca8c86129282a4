package relaynode

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/traffic"
)

// Guards against a node that hides the findings of a configuration, refuses it because of them, or logs them each time it reads
// the same version.
func TestFindingsOfConfigurationAreLogged(t *testing.T) {
	var logs bytes.Buffer
	n := &node{settings: Settings{MemoryLimitBytes: 100}, log: slog.New(slog.NewTextHandler(&logs, nil)), currentConfig: traffic.NewCurrentConfig()}
	n.platform.ConfigKey = "config/main"
	n.platform.DecodeConfig = func(json.RawMessage) (*traffic.Config, error) {
		config := &traffic.Config{Version: 2, Limits: traffic.Limits{MaxBodyBytes: 200}}
		config.BuildIndex()
		return config, nil
	}
	for range 3 {
		n.applyConfigObject(objectapi.Object{Key: "config/main", Value: json.RawMessage("{}")})
	}
	if config := n.currentConfig.Config(); config == nil || config.Version != 2 {
		t.Errorf("configuration %+v is in force, want version 2", config)
	}
	const want = `msg="Configuration in force has findings." config_version=2 findings=1 first="contradiction: limits: body bytes`
	if got := strings.ReplaceAll(logs.String(), `\"`, ""); strings.Count(got, want) != 1 {
		t.Errorf("logs:\n%s\nwant once: %s", got, want)
	}
}
