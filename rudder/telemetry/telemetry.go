// Package telemetry has the logger and the metric instruments of a node. The daemon creates both and passes them to the
// components.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Logger creates the structured loggers of the components of a node.
type Logger struct {
	base *slog.Logger
}

// NewLogger returns a logger that writes lines at or above level to w, in the text format of slog with the attribute node.
func NewLogger(w io.Writer, level slog.Level, node string) *Logger {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: formatError})
	return &Logger{base: slog.New(handler).With("node", node)}
}

// formatError replaces an error attribute by the error's message. TextHandler would write errors of github.com/pkg/errors
// with the stack trace of each wrapping, several hundred bytes per line.
func formatError(_ []string, attr slog.Attr) slog.Attr {
	if err, isError := attr.Value.Any().(error); isError {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}

// Part returns the logger of a component. Its lines have the attribute part with the name.
func (l *Logger) Part(name string) *slog.Logger { return l.base.With("part", name) }

// Metrics has the metric instruments of a node.
type Metrics struct {
	FirstToken       metric.Float64Histogram // seconds
	BetweenTokens    metric.Float64Histogram // seconds
	GeneratedTokens  metric.Int64Counter
	RecomputedTokens metric.Int64Counter
	Requests         metric.Int64Counter
	ObjectAPICalls   metric.Int64Counter
	ControlBytes     metric.Int64Counter
	QueueLength      metric.Int64UpDownCounter
	Decisions        metric.Int64Counter
	CrashedRequests  metric.Int64Counter // requests whose backend server crashed
	ServerDepartures metric.Int64Counter // backend servers that announced in a response that they leave
	ServerPauses     metric.Int64Counter // pauses that backend servers asked for
	QuotaRefusals    metric.Int64Counter // requests that were refused for their organisation's limit
	UnframedEnds     metric.Int64Counter // responses of which only the end of the connection marked the end
	PassedOnRequests metric.Int64Counter // requests that were passed on to another node
	handler          http.Handler
	meter            metric.Meter
}

// NewMetrics creates the instruments in a registry of their own, which Handler serves.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("chestnutrudder")
	m := &Metrics{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), meter: meter}
	firstTokenBounds := metric.WithExplicitBucketBoundaries(.05, .1, .2, .3, .4, .5, .6, .68, .8, 1, 2, 5, 10)
	betweenTokensBounds := metric.WithExplicitBucketBoundaries(.005, .01, .015, .02, .025, .027, .03, .04, .06, .1, .5, 1)
	var errs [15]error
	m.FirstToken, errs[0] = meter.Float64Histogram("first_token_seconds", firstTokenBounds)
	m.BetweenTokens, errs[1] = meter.Float64Histogram("between_tokens_seconds", betweenTokensBounds)
	m.GeneratedTokens, errs[2] = meter.Int64Counter("generated_tokens")
	m.RecomputedTokens, errs[3] = meter.Int64Counter("recomputed_tokens")
	m.Requests, errs[4] = meter.Int64Counter("requests")
	m.ObjectAPICalls, errs[5] = meter.Int64Counter("object_api_calls")
	m.ControlBytes, errs[6] = meter.Int64Counter("control_bytes")
	m.QueueLength, errs[7] = meter.Int64UpDownCounter("queue_length")
	m.Decisions, errs[8] = meter.Int64Counter("decisions")
	m.CrashedRequests, errs[9] = meter.Int64Counter("crashed_requests")
	m.ServerDepartures, errs[10] = meter.Int64Counter("server_departures")
	m.ServerPauses, errs[11] = meter.Int64Counter("server_pauses")
	m.QuotaRefusals, errs[12] = meter.Int64Counter("quota_refusals")
	m.UnframedEnds, errs[13] = meter.Int64Counter("unframed_ends")
	m.PassedOnRequests, errs[14] = meter.Int64Counter("passed_on_requests")
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "create instrument")
		}
	}
	return m, nil
}

// ObserveDroppedLines registers a counter of dropped log lines. dropped returns the total since the start of the process; it
// is called at each collection.
func (m *Metrics) ObserveDroppedLines(dropped func() int64) error {
	_, err := m.meter.Int64ObservableCounter("log_lines_dropped", metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(dropped())
		return nil
	}))
	return errors.Wrap(err, "create instrument")
}

// ObserveNodes registers gauges of the nodes that this one knows, itself included. count is called at each collection.
func (m *Metrics) ObserveNodes(count func() (reachable, known int)) error {
	reachableNodes, err := m.meter.Int64ObservableGauge("nodes_reachable")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	knownNodes, err := m.meter.Int64ObservableGauge("nodes_known")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		reachable, known := count()
		o.ObserveInt64(reachableNodes, int64(reachable))
		o.ObserveInt64(knownNodes, int64(known))
		return nil
	}, reachableNodes, knownNodes)
	return errors.Wrap(err, "register callback")
}

// ObserveLostPaths registers a gauge of the services without a path from this node to their backend servers. list is called at each
// collection.
func (m *Metrics) ObserveLostPaths(list func() []string) error {
	_, err := m.meter.Int64ObservableGauge("services_without_path", metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(int64(len(list())))
		return nil
	}))
	return errors.Wrap(err, "create instrument")
}

// RolloutReading is how far the rollout of a service to a software version has come, as a node knows it.
type RolloutReading struct {
	Service, Version string
	Phase            string
	Share            float64 // of the requests for the version
	Sent, Bad        int64   // requests at the version, and those of its responses that were bad
}

// ObserveRollouts registers gauges of the rollouts of software versions. list is called at each collection.
func (m *Metrics) ObserveRollouts(list func() []RolloutReading) error {
	share, err := m.meter.Float64ObservableGauge("rollout_share")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	requests, err := m.meter.Int64ObservableGauge("rollout_requests")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, r := range list() {
			service, version := attribute.String("service", r.Service), attribute.String("version", r.Version)
			o.ObserveFloat64(share, r.Share, metric.WithAttributes(service, version, attribute.String("phase", r.Phase)))
			o.ObserveInt64(requests, r.Sent, metric.WithAttributes(service, version, attribute.String("result", "sent")))
			o.ObserveInt64(requests, r.Bad, metric.WithAttributes(service, version, attribute.String("result", "bad")))
		}
		return nil
	}, share, requests)
	return errors.Wrap(err, "create instrument")
}

// CallerResources is what callers take of a node's resources.
type CallerResources struct {
	Bytes, Connections int64
	Events             map[string]int64 // refused and closed connections and requests since the start, by reason
}

// ObserveCallerResources registers gauges of what callers take, and a counter of what was refused or closed. read is called at
// each collection.
func (m *Metrics) ObserveCallerResources(read func() CallerResources) error {
	bytes, err := m.meter.Int64ObservableGauge("caller_memory_bytes")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	connections, err := m.meter.Int64ObservableGauge("caller_connections")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	events, err := m.meter.Int64ObservableCounter("caller_limit_events")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		r := read()
		o.ObserveInt64(bytes, r.Bytes)
		o.ObserveInt64(connections, r.Connections)
		for reason, n := range r.Events {
			o.ObserveInt64(events, n, metric.WithAttributes(attribute.String("reason", reason)))
		}
		return nil
	}, bytes, connections, events)
	return errors.Wrap(err, "register callback")
}

// ServerPaceObserver takes the lowest and the highest time that servers of a service take relative to the median one, and how
// many of them are faster and slower.
type ServerPaceObserver func(service string, fastest, slowest float64, faster, slower int)

// ObserveServerPaces registers gauges of the paces of backend servers by service. observeAll is called at each collection.
func (m *Metrics) ObserveServerPaces(observeAll func(ServerPaceObserver)) error {
	paces, err := m.meter.Float64ObservableGauge("server_pace")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	counts, err := m.meter.Int64ObservableGauge("servers_off_median_pace")
	if err != nil {
		return errors.Wrap(err, "create instrument")
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		observeAll(func(service string, fastest, slowest float64, faster, slower int) {
			byService := attribute.String("service", service)
			o.ObserveFloat64(paces, fastest, metric.WithAttributes(byService, attribute.String("server", "fastest")))
			o.ObserveFloat64(paces, slowest, metric.WithAttributes(byService, attribute.String("server", "slowest")))
			o.ObserveInt64(counts, int64(faster), metric.WithAttributes(byService, attribute.String("pace", "faster")))
			o.ObserveInt64(counts, int64(slower), metric.WithAttributes(byService, attribute.String("pace", "slower")))
		})
		return nil
	}, paces, counts)
	return errors.Wrap(err, "register callback")
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }
