// Package settings parses the daemon's flags and environment variables and validates them together. Only cmd/rudderd parses
// them; the daemon gets the result.
package settings

import (
	"io"
	"log/slog"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Settings are the settings of one node, from flags and environment variables.
type Settings struct {
	Node          string        `arg:"--node,env:RUDDER_NODE" help:"name of this node, unique in the fleet"`
	Cluster       string        `arg:"--cluster,env:RUDDER_CLUSTER" default:"rudder" help:"name of the cluster; nodes of clusters with another name are ignored"`
	Region        string        `arg:"--region,env:RUDDER_REGION" help:"region of this host"`
	FailureDomain string        `arg:"--failure-domain,env:RUDDER_FAILURE_DOMAIN" help:"failure domain of this host"`
	CallerAddress string        `arg:"--caller-address,env:RUDDER_CALLER_ADDRESS" help:"IP:port for callers"`
	PeerAddress   string        `arg:"--peer-address,env:RUDDER_PEER_ADDRESS" help:"IP:port for other nodes"`
	CallerListen  string        `arg:"--caller-listen,env:RUDDER_CALLER_LISTEN" help:"IP:port to listen on for callers, if it differs from --caller-address"`
	PeerListen    string        `arg:"--peer-listen,env:RUDDER_PEER_LISTEN" help:"IP:port to listen on for other nodes, if it differs from --peer-address"`
	AdminAddress  string        `arg:"--admin-address,env:RUDDER_ADMIN_ADDRESS" help:"IP:port for metrics, liveness and readiness"`
	Peers         []string      `arg:"--peers,env:RUDDER_PEERS" help:"IP:port of nodes to contact first, besides those in the object API"`
	ObjectAPI     string        `arg:"--object-api,env:RUDDER_OBJECT_API" help:"base URL of the object API"`
	CloudAPI      string        `arg:"--cloud-api,env:RUDDER_CLOUD_API" help:"base URL of the cloud API"`
	HostList      string        `arg:"--host-list,env:RUDDER_HOST_LIST" help:"base URL of the host list"`
	WeightStore   string        `arg:"--weight-store,env:RUDDER_WEIGHT_STORE" help:"base URL of the weight store"`
	LogLevel      string        `arg:"--log-level,env:RUDDER_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	StopTimeout   time.Duration `arg:"--stop-timeout,env:RUDDER_STOP_TIMEOUT" default:"60s" help:"time for requests in progress at a stop"`
	Routing       string        `arg:"--routing,env:RUDDER_ROUTING" default:"predicted" help:"predicted, least-loaded or round-robin; the last two are baselines for measurements"`
	Capacity      string        `arg:"--capacity,env:RUDDER_CAPACITY" default:"risk" help:"risk, on-demand or off; on-demand is a baseline for measurements"`
}

// Parse parses the command-line arguments (without the program name) and the environment, and validates the result. The
// error is arg.ErrHelp if help was requested.
func Parse(args []string) (Settings, error) {
	var s Settings
	parser, err := arg.NewParser(arg.Config{Program: "rudderd"}, &s)
	if err != nil {
		return s, errors.Wrap(err, "build argument parser")
	}
	if err := parser.Parse(args); err != nil {
		return s, err
	}
	return s, s.Validate()
}

// CallerListenAddress returns the IP:port to listen on for callers: CallerListen, or CallerAddress if that is empty.
func (s Settings) CallerListenAddress() string {
	if s.CallerListen != "" {
		return s.CallerListen
	}
	return s.CallerAddress
}

// PeerListenAddress returns the IP:port to listen on for other nodes: PeerListen, or PeerAddress if that is empty.
func (s Settings) PeerListenAddress() string {
	if s.PeerListen != "" {
		return s.PeerListen
	}
	return s.PeerAddress
}

// Level returns LogLevel as a level of slog; info if LogLevel is invalid, which Validate reports.
func (s Settings) Level() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel))
	return level
}

// Validate returns one error that lists all invalid settings, nil if there are none.
func (s Settings) Validate() error {
	var problems []string
	addProblem := func(field, value, allowed string) {
		problems = append(problems, field+": "+strconv.Quote(value)+", allowed: "+allowed)
	}
	for field, value := range map[string]string{"--node": s.Node, "--cluster": s.Cluster, "--failure-domain": s.FailureDomain, "--region": s.Region} {
		if value == "" || strings.ContainsAny(value, " /\t\n") {
			addProblem(field, value, "a name without spaces and slashes")
		}
	}
	for field, value := range map[string]string{
		"--caller-address": s.CallerAddress, "--peer-address": s.PeerAddress, "--admin-address": s.AdminAddress,
		"--caller-listen": s.CallerListenAddress(), "--peer-listen": s.PeerListenAddress(),
	} {
		if !isIPPort(value) {
			addProblem(field, value, "IP:port")
		}
	}
	for _, value := range s.Peers {
		if !isIPPort(value) {
			addProblem("--peers", value, "IP:port")
		}
	}
	for field, value := range map[string]string{"--object-api": s.ObjectAPI, "--host-list": s.HostList, "--cloud-api": s.CloudAPI, "--weight-store": s.WeightStore} {
		if !isHTTPURL(value) {
			addProblem(field, value, "an http or https URL")
		}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		addProblem("--log-level", s.LogLevel, "debug, info, warn, error")
	}
	if s.StopTimeout <= 0 {
		addProblem("--stop-timeout", s.StopTimeout.String(), "a positive duration")
	}
	if !slices.Contains([]string{"predicted", "least-loaded", "round-robin"}, s.Routing) {
		addProblem("--routing", s.Routing, "predicted, least-loaded, round-robin")
	}
	if !slices.Contains([]string{"risk", "on-demand", "off"}, s.Capacity) {
		addProblem("--capacity", s.Capacity, "risk, on-demand, off")
	}
	return JoinProblems(problems)
}

// JoinProblems returns one error that lists the problems in sorted order, nil if there are none. It sorts its argument.
func JoinProblems(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return errors.Errorf("%d settings are wrong:\n  %s", len(problems), strings.Join(problems, "\n  "))
}

func isIPPort(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isHTTPURL(value string) bool {
	u, err := url.Parse(value)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// WriteHelp writes the help text, which lists the flags and environment variables.
func WriteHelp(w io.Writer) {
	parser, err := arg.NewParser(arg.Config{Program: "rudderd"}, &Settings{})
	if err != nil {
		return
	}
	parser.WriteHelp(w)
}
