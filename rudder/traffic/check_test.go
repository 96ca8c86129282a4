package traffic

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// validConfig returns a configuration without findings.
func validConfig() *Config {
	priority := 1
	return &Config{
		Version: 3,
		Routes: []*Route{
			{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: NonIdempotent, Attempts: 1, Timeout: time.Second, LatencyObjective: time.Second, Targets: []Target{{"desk", 1}}},
			{Name: "stream", Host: "h", PathPrefix: "/", Kind: Streaming, Resumable: true, Attempts: 2, Timeout: 3 * time.Second, MaxEventGap: time.Second, Targets: []Target{{"desk", 1}, {"model", 9}}},
		},
		Services: map[string]*Service{
			"desk":  {Name: "desk", MaxConnections: 6},
			"model": {Name: "model", MaxConnections: 24, Engine: &Engine{Slots: 24}, Scaling: &Scaling{Min: 1, Max: 2, StartupTime: time.Second, SpotPriceRatio: 0.2, FailureDomainPrices: map[string]float64{"a": 1}}},
		},
		Organisations: []*Organisation{
			{Name: "o", APIKeys: []string{"k1", "k2"}, Priority: &priority, CountsTokens: true, DefaultTokens: 200, RatePerSecond: 1000, Burst: 200},
			{Name: "p", APIKeys: []string{"k3"}},
		},
		Limits: Limits{MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

// Guards against a rule that does not find its fault, or that finds one in a configuration that is right.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Config)
		want   string // finding, without its value
	}{
		"valid":            {func(*Config) {}, ""},
		"version":          {func(c *Config) { c.Version = 0 }, "invalid: configuration: version"},
		"replaced":         {func(c *Config) { c.Replaced = []Finding{{Invalid, Object{KindRoute, "x"}, FieldKind, "a", "b"}} }, "invalid: route x: kind"},
		"body":             {func(c *Config) { c.Limits.MaxBodyBytes = -1 }, "invalid: limits: body bytes"},
		"body and memory":  {func(c *Config) { c.Limits.MaxBodyBytes = 144 << 20 }, "contradiction: limits: body bytes"},
		"header":           {func(c *Config) { c.Limits.MaxHeaderBytes = -1 }, "invalid: limits: header bytes"},
		"header, memory":   {func(c *Config) { c.Limits.MaxHeaderBytes = 144 << 20 }, "contradiction: limits: header bytes"},
		"header timeout":   {func(c *Config) { c.Limits.HeaderTimeout = -1 }, "invalid: limits: header timeout"},
		"idle timeout":     {func(c *Config) { c.Limits.IdleTimeout = -1 }, "invalid: limits: idle timeout"},
		"route name":       {func(c *Config) { c.Routes[0].Name = "" }, "invalid: route : name"},
		"route name twice": {func(c *Config) { c.Routes[0].Name = "stream" }, "invalid: route stream: name"},
		"host":             {func(c *Config) { c.Routes[0].Host = "" }, "invalid: route plain: host"},
		"host with port":   {func(c *Config) { c.Routes[0].Host = "h:80" }, "no effect: route plain: host"},
		"prefix":           {func(c *Config) { c.Routes[0].PathPrefix = "plain" }, "no effect: route plain: path prefix"},
		"hidden":           {func(c *Config) { c.Routes[1].PathPrefix = "/plain/" }, "no effect: route stream: path prefix"},
		"timeout":          {func(c *Config) { c.Routes[1].Timeout = -1 }, "invalid: route stream: timeout"},
		"objective":        {func(c *Config) { c.Routes[0].LatencyObjective = -1 }, "invalid: route plain: latency objective"},
		"late objective":   {func(c *Config) { c.Routes[0].LatencyObjective++ }, "contradiction: route plain: latency objective"},
		"gap":              {func(c *Config) { c.Routes[1].MaxEventGap = -1 }, "invalid: route stream: event gap"},
		"long gap":         {func(c *Config) { c.Routes[1].MaxEventGap = time.Minute }, "contradiction: route stream: event gap"},
		"gap of no stream": {func(c *Config) { c.Routes[0].MaxEventGap = 1 }, "no effect: route plain: event gap"},
		"resumable":        {func(c *Config) { c.Routes[0].Resumable = true }, "no effect: route plain: resumable"},
		"attempts":         {func(c *Config) { c.Routes[0].Attempts = -1 }, "invalid: route plain: attempts"},
		"attempts, once":   {func(c *Config) { c.Routes[0].Attempts = 2 }, "contradiction: route plain: attempts"},
		"attempts, stream": {func(c *Config) { c.Routes[1].Resumable = false }, "contradiction: route stream: attempts"},
		"route priority":   {func(c *Config) { c.Routes[0].Priority = -1 }, "invalid: route plain: priority"},
		"no target":        {func(c *Config) { c.Routes[0].Targets = nil }, "invalid: route plain: targets"},
		"unknown target":   {func(c *Config) { c.Routes[0].Targets[0].Service = "x" }, "invalid: route plain: targets"},
		"weight below 0":   {func(c *Config) { c.Routes[1].Targets[0].Weight = -1 }, "invalid: route stream: target weight"},
		"weight 0":         {func(c *Config) { c.Routes[1].Targets[0].Weight = 0 }, "no effect: route stream: target weight"},
		"unused service":   {func(c *Config) { c.Services["x"] = &Service{Name: "x"} }, "no effect: service x: name"},
		"connections":      {func(c *Config) { c.Services["desk"].MaxConnections = -1 }, "invalid: service desk: connections"},
		"slots":            {func(c *Config) { c.Services["model"].Engine.Slots = -1 }, "invalid: service model: slots"},
		"many slots":       {func(c *Config) { c.Services["model"].Engine.Slots = 25 }, "contradiction: service model: slots"},
		"least runners":    {func(c *Config) { c.Services["model"].Scaling.Min = -1 }, "invalid: service model: least runners"},
		"runners":          {func(c *Config) { c.Services["model"].Scaling.Min = 3 }, "contradiction: service model: least runners"},
		"startup":          {func(c *Config) { c.Services["model"].Scaling.StartupTime = -1 }, "invalid: service model: startup time"},
		"spot price":       {func(c *Config) { c.Services["model"].Scaling.SpotPriceRatio = -1 }, "invalid: service model: spot price"},
		"price":            {func(c *Config) { c.Services["model"].Scaling.FailureDomainPrices["a"] = -1 }, "invalid: service model: prices"},
		"same name":        {func(c *Config) { c.Organisations[1].Name = "o" }, "invalid: organisation o: name"},
		"no key":           {func(c *Config) { c.Organisations[1].APIKeys = nil }, "no effect: organisation p: API keys"},
		"empty key":        {func(c *Config) { c.Organisations[1].APIKeys[0] = "" }, "invalid: organisation p: API keys"},
		"key of two":       {func(c *Config) { c.Organisations[1].APIKeys[0] = "k1" }, "no effect: organisation o: API keys"},
		"key twice":        {func(c *Config) { c.Organisations[0].APIKeys[1] = "k1" }, "no effect: organisation o: API keys"},
		"priority":         {func(c *Config) { *c.Organisations[0].Priority = -1 }, "invalid: organisation o: priority"},
		"rate":             {func(c *Config) { c.Organisations[0].RatePerSecond = -1 }, "invalid: organisation o: rate"},
		"burst":            {func(c *Config) { c.Organisations[1].Burst = -1 }, "invalid: organisation p: burst"},
		"small burst":      {func(c *Config) { c.Organisations[0].Burst = 199 }, "contradiction: organisation o: burst"},
		"burst of none":    {func(c *Config) { c.Organisations[1].RatePerSecond = 1 }, "contradiction: organisation p: burst"},
		"default tokens":   {func(c *Config) { c.Organisations[0].DefaultTokens = -1 }, "invalid: organisation o: default tokens"},
	} {
		config := validConfig()
		c.change(config)
		config.BuildIndex()
		var got []string
		for _, f := range config.Check(Hosts{MemoryBytes: 144 << 20}) {
			object := strings.TrimSpace(string(f.Object.Kind) + " " + f.Object.Name)
			if f.Object.Kind == KindRoute && f.Object.Name == "" {
				object = "route "
			}
			got = append(got, fmt.Sprintf("%s: %s: %s", f.Class, object, f.Field))
		}
		if strings.Join(got, "; ") != c.want {
			t.Errorf("%s: findings %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a check that finds other routes hidden, or other keys without effect, than those that lookups do not return.
func TestHiddenEntriesAreThoseThatLookupsDoNotReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host, path := rapid.SampledFrom([]string{"a", "b"}), rapid.SampledFrom([]string{"/", "/x", "/x/", "/x/y", "/z"})
		config := &Config{Version: 1}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			config.Routes = append(config.Routes, &Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "path")})
		}
		config.BuildIndex()
		for _, r := range config.Routes {
			found := config.RouteFor(r.Host, r.PathPrefix)
			if isHidden := config.hiddenBy[r] != nil; isHidden != (found != r) || isHidden && config.hiddenBy[r] != found {
				t.Fatalf("route %s is hidden by %v, lookup returns %s", r.Name, config.hiddenBy[r], found.Name)
			}
		}
	})
}

// largeConfig returns a configuration with many routes of one host, their services and organisations.
func largeConfig(routes int) *Config {
	c := &Config{Version: 1, Services: map[string]*Service{}}
	for i := range routes {
		name := fmt.Sprint("n", i)
		c.Services[name] = &Service{Name: name}
		c.Routes = append(c.Routes, &Route{Name: name, Host: "h", PathPrefix: fmt.Sprintf("/%0*d/", 1+i%50, i), Targets: []Target{{name, 1}}})
		c.Organisations = append(c.Organisations, &Organisation{Name: name, APIKeys: []string{name}})
	}
	return c
}

// Guards against a check whose time grows with the square of the number of routes: with 3,000 it must take less than a second.
func TestComparisonsOfLargeConfigurationAreBounded(t *testing.T) {
	const (
		routes              = 3000
		comparisonsPerEntry = 100 // a square would be 3,000
	)
	c := largeConfig(routes)
	c.BuildIndex()
	k := c.check(Hosts{})
	if len(k.findings) > 0 {
		t.Fatalf("findings %v, want none", k.findings)
	}
	if sum, limit := k.steps+c.indexComparisons, comparisonsPerEntry*routes; sum > limit {
		t.Errorf("%d comparisons, want at most %d", sum, limit)
	}
}

func BenchmarkCheck(b *testing.B) {
	c := largeConfig(3000)
	for b.Loop() {
		c.BuildIndex()
		c.Check(Hosts{})
	}
}

// Guards against a difference that is not reported, or one between equal configurations.
func TestDiff(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Config)
		want   string
	}{
		"equal":        {func(c *Config) { c.Version++ }, "[]"},
		"limits":       {func(c *Config) { c.Limits.IdleTimeout = 0 }, "[{{limits } changed [{idle timeout 1s 0s}]}]"},
		"route":        {func(c *Config) { c.Routes[0].Attempts = 4 }, "[{{route plain} changed [{attempts 1 4}]}]"},
		"removed":      {func(c *Config) { c.Routes = c.Routes[1:] }, "[{{route plain} removed []}]"},
		"same name":    {func(c *Config) { c.Routes = append(c.Routes, c.Routes[0]) }, "[{{route plain} added []}]"},
		"service":      {func(c *Config) { c.Services["model"].Engine = nil }, "[{{service model} changed [{slots 24 }]}]"},
		"prices":       {func(c *Config) { c.Services["model"].Scaling.FailureDomainPrices["b"] = 2 }, "[{{service model} changed [{prices a 1 a 1, b 2}]}]"},
		"organisation": {func(c *Config) { c.Organisations[0].Priority = nil }, "[{{organisation o} changed [{priority 1 }]}]"},
		"keys in another order": {func(c *Config) {
			c.Organisations[0].APIKeys = []string{"k2", "k1"}
		}, "[]"},
	} {
		next := validConfig()
		c.change(next)
		if got := fmt.Sprint(Diff(validConfig(), next)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against output that shows an API key.
func TestFindingsAndDifferencesShowNoAPIKey(t *testing.T) {
	const key = "secret-key"
	before, after := validConfig(), validConfig()
	after.Organisations[0].APIKeys = []string{key, key}
	after.Organisations[1].APIKeys = []string{key}
	after.BuildIndex()
	if shown := fmt.Sprint(after.Check(Hosts{}), Diff(before, after)); strings.Contains(shown, key) {
		t.Errorf("%s shows the key", shown)
	}
}

// A configuration that differs and whose version is not higher is not applied by nodes.
func TestCheckSuccession(t *testing.T) {
	current, same, lower, higher := validConfig(), validConfig(), validConfig(), validConfig()
	lower.Routes[0].Attempts, higher.Routes[0].Attempts = 0, 0
	higher.Version++
	for next, want := range map[*Config]int{same: 0, lower: 1, higher: 0} {
		if got := CheckSuccession(current, next, Diff(current, next)); len(got) != want {
			t.Errorf("version %d after %d: findings %v, want %d", next.Version, current.Version, got, want)
		}
	}
}

// Guards against a change that lets in everybody or nobody and is reported like any other: an operator left out the last organisation
// (review case 13).
func TestChangesThatLetInEverybodyOrNobodyAreFindings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		want   Field // of the finding; empty for none
	}{
		"nothing changes":             {func(*Config) {}, ""},
		"the list is left out":        {func(c *Config) { c.Organisations, c.Callers = nil, Everybody }, FieldCallers},
		"the list is empty":           {func(c *Config) { c.Organisations = nil }, FieldCallers},
		"no organisation has keys":    {func(c *Config) { c.Organisations = []*Organisation{{Name: "o"}} }, FieldCallers},
		"another organisation's keys": {func(c *Config) { c.Organisations = []*Organisation{{Name: "other", APIKeys: []string{"k"}}} }, ""},
		"a route becomes public":      {func(c *Config) { c.Routes[0].Public = true }, FieldPublic},
		"a public route is added":     {func(c *Config) { c.Routes = append(c.Routes, &Route{Name: "new", Host: "h2", Public: true}) }, ""},
	} {
		current, next := validConfig(), validConfig()
		next.Version++
		c.change(next)
		current.BuildIndex()
		next.BuildIndex()
		got := CheckSuccession(current, next, Diff(current, next))
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0].Class != Access || got[0].Field != c.want) {
			t.Errorf("%s: findings %v, want one of field %q, or none if it is empty", name, got, c.want)
		}
		if c.want == FieldCallers {
			if back := CheckSuccession(next, current, Diff(next, current)); len(back) != 1 || back[0].Class == Access {
				t.Errorf("%s, and back: findings %v, want only that of the version", name, back)
			}
		}
	}
	everybody := validConfig()
	everybody.Callers, everybody.Organisations = Everybody, nil
	everybody.BuildIndex()
	if d := Diff(validConfig(), everybody); len(d) == 0 || d[0].Object.Kind != KindConfig {
		t.Errorf("differences %v, want one of the callers", d)
	}
}
