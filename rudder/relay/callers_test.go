package relay

import (
	"net/http"
	"testing"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/traffic"
)

// applyConfig puts a changed copy of the harness's configuration in force.
func (h *harness) applyConfig(change func(c *traffic.Config)) {
	h.t.Helper()
	config := &traffic.Config{Version: h.config.Version + 1, Services: h.config.Services, Routes: h.config.Routes, Organisations: h.config.Organisations, Callers: h.config.Callers}
	change(config)
	config.BuildIndex()
	h.config = config
	h.server.Current.Apply(config)
	h.server.Current.ConfirmNewest(config.Version, boottime.Now())
}

// Guards against routes that are open to everybody once the last organisation has gone.
func TestConfigurationWithoutOrganisationsLetsInNobody(t *testing.T) {
	h := newHarness(t)
	h.backendServer("a", succeed)
	h.applyConfig(func(c *traffic.Config) { c.Organisations = nil })
	for _, key := range []string{"Bearer key", "Bearer never-held", ""} {
		got := h.call(t.Context(), http.MethodGet, "/once/x", "", http.Header{"Authorization": {key}})
		if got.status != http.StatusUnauthorized {
			t.Errorf("key %q: response %+v, want 401", key, got)
		}
	}
	h.applyConfig(func(c *traffic.Config) { c.Callers = traffic.Everybody })
	if got := h.get("/once/x"); got.status != http.StatusOK {
		t.Errorf("response %+v without organisations by choice, want 200", got)
	}
}
