package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/traffic"
)

// ConfigForm translates the form in which the operators of a platform write the configuration of relayed traffic.
type ConfigForm struct {
	// Decode translates a configuration as nodes do. If that fails, the configuration is nil and the finding tells why.
	Decode func(raw []byte) (*traffic.Config, *traffic.Finding)
	// ReadInForce reads the configuration from the object store at an address.
	ReadInForce func(ctx context.Context, address string) ([]byte, error)
	// FieldName and KindName return the names that the form has for fields and kinds of entries.
	FieldName func(traffic.Field) string
	KindName  func(traffic.ObjectKind) string
}

// configArguments are the subcommands about the configuration of relayed traffic.
type configArguments struct {
	Check *configCheckArguments `arg:"subcommand:check" help:"report what is wrong with a configuration, and what it changes"`
}

type configCheckArguments struct {
	File         string `arg:"positional,required" help:"file with the configuration, - for standard input"`
	Against      string `arg:"--against" placeholder:"FILE|in-force" help:"configuration to compare with"`
	Store        string `arg:"--store,env:RUDDER_STORE" help:"IP:port of the object store, for --against in-force"`
	HostMemoryMB int64  `arg:"--host-memory-mb" default:"144" help:"memory of the smallest host"`
	JSON         bool   `arg:"--json" help:"print JSON"`
}

// againstInForce is the value of --against for the configuration in the object store.
const againstInForce = "in-force"

// errFindings means that a configuration was checked and has findings, which were printed.
var errFindings = errors.New("configuration has findings")

// checkError means that a configuration could not be checked.
type checkError struct{ cause error }

func (e *checkError) Error() string { return "configuration was not checked: " + e.cause.Error() }

func (e *checkError) Unwrap() error { return e.cause }

// reportedFinding is a finding with the names of the form.
type reportedFinding struct {
	Class   traffic.Class `json:"class"`
	Kind    string        `json:"kind"`
	Name    string        `json:"name,omitempty"`
	Field   string        `json:"field,omitempty"`
	Value   string        `json:"value"`
	Allowed string        `json:"allowed"`
}

// reportedDifference is a difference from the other configuration with the names of the form.
type reportedDifference struct {
	Change traffic.Change  `json:"change"`
	Kind   string          `json:"kind"`
	Name   string          `json:"name,omitempty"`
	Fields []reportedField `json:"fields,omitempty"`
}

type reportedField struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// configReport is what config check prints.
type configReport struct {
	IsDecoded      bool                 `json:"decoded"`
	Version        int64                `json:"version"`
	AgainstVersion *int64               `json:"against_version,omitempty"`
	Findings       []reportedFinding    `json:"findings"`
	Differences    []reportedDifference `json:"differences,omitempty"`
}

// run checks a configuration by the rules of the nodes. Findings give errFindings, a configuration that cannot be read a
// checkError.
func (a *configCheckArguments) run(ctx context.Context, env *environment) error {
	if a.Against == againstInForce && a.Store == "" {
		return usageError(`--store: value "", allowed: the IP:port of the object store (or RUDDER_STORE)`)
	}
	if a.HostMemoryMB < 1 {
		return usageError(fmt.Sprintf("--host-memory-mb: value \"%d\", allowed: 1 or more", a.HostMemoryMB))
	}
	raw, err := env.readConfigFile(a.File)
	if err != nil {
		return &checkError{err}
	}
	current, err := a.readOther(ctx, env)
	if err != nil {
		return &checkError{err}
	}
	report := a.check(env.configForm, raw, current)
	if err := report.print(env.stdout, a.JSON || env.jsonOutput); err != nil {
		return &checkError{err}
	}
	if len(report.Findings) > 0 {
		return errFindings
	}
	return nil
}

// check returns the report on a configuration; current is nil if there is none to compare with.
func (a *configCheckArguments) check(form ConfigForm, raw []byte, current *traffic.Config) *configReport {
	report := &configReport{Findings: []reportedFinding{}}
	config, problem := form.Decode(raw)
	if problem != nil {
		report.addFindings(form, []traffic.Finding{*problem})
		return report
	}
	report.IsDecoded, report.Version = true, config.Version
	report.addFindings(form, config.Check(traffic.Hosts{MemoryBytes: a.HostMemoryMB << 20}))
	if current != nil {
		report.AgainstVersion = &current.Version
		differences := traffic.Diff(current, config)
		report.addFindings(form, traffic.CheckSuccession(current, config, differences))
		report.addDifferences(form, differences)
	}
	return report
}

// readConfigFile returns the content of a file, or the standard input for "-".
func (env *environment) readConfigFile(path string) ([]byte, error) {
	if path == "-" {
		raw, err := io.ReadAll(env.stdin)
		return raw, errors.Wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(path)
	return raw, errors.Wrap(err, "read file")
}

// readOther returns the configuration that --against names, nil if there is none.
func (a *configCheckArguments) readOther(ctx context.Context, env *environment) (*traffic.Config, error) {
	if a.Against == "" {
		return nil, nil
	}
	var raw []byte
	var err error
	if a.Against == againstInForce {
		raw, err = env.configForm.ReadInForce(ctx, a.Store)
	} else {
		raw, err = env.readConfigFile(a.Against)
	}
	if err != nil {
		return nil, err
	}
	config, problem := env.configForm.Decode(raw)
	if problem != nil {
		return nil, errors.Errorf("--against %s: %s: value %q, allowed: %s", a.Against, problem.Field, problem.Value, problem.Allowed)
	}
	return config, nil
}

func (r *configReport) addFindings(form ConfigForm, findings []traffic.Finding) {
	for _, f := range findings {
		r.Findings = append(r.Findings, reportedFinding{
			Class: f.Class, Kind: form.KindName(f.Object.Kind), Name: f.Object.Name, Field: form.FieldName(f.Field), Value: f.Value, Allowed: form.replaceFields(f.Allowed),
		})
	}
}

func (r *configReport) addDifferences(form ConfigForm, differences []traffic.Difference) {
	for _, d := range differences {
		out := reportedDifference{Change: d.Change, Kind: form.KindName(d.Object.Kind), Name: d.Object.Name}
		for _, f := range d.Fields {
			out.Fields = append(out.Fields, reportedField{Field: form.FieldName(f.Field), Old: f.Old, New: f.New})
		}
		r.Differences = append(r.Differences, out)
	}
}

// replaceFields puts the names of the form in place of the fields in braces.
func (form ConfigForm) replaceFields(text string) string {
	before, rest, found := strings.Cut(text, "{")
	if !found {
		return text
	}
	field, after, _ := strings.Cut(rest, "}")
	return before + form.FieldName(traffic.Field(field)) + form.replaceFields(after)
}

// print writes the report as text or JSON.
func (r *configReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return printJSON(w, r)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s: %s: %svalue %q, allowed: %s\n", f.Class, entryName(f.Kind, f.Name), prefixed(f.Field), f.Value, f.Allowed)
	}
	if r.IsDecoded {
		fmt.Fprintf(w, "version: %d\n", r.Version)
	}
	fmt.Fprintf(w, "findings: %d\n", len(r.Findings))
	if r.AgainstVersion == nil {
		return nil
	}
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s: %s\n", d.Change, entryName(d.Kind, d.Name))
		for _, f := range d.Fields {
			fmt.Fprintf(w, "  %s: %q, was %q\n", f.Field, f.New, f.Old)
		}
	}
	_, err := fmt.Fprintf(w, "differences from version %d: %d\n", *r.AgainstVersion, len(r.Differences))
	return errors.Wrap(err, "write report")
}

// entryName returns the kind of an entry, with its name if it has one.
func entryName(kind, name string) string {
	if name == "" {
		return kind
	}
	return fmt.Sprintf("%s %q", kind, name)
}

// prefixed returns a field as the beginning of a message, or nothing if there is none.
func prefixed(field string) string {
	if field == "" {
		return ""
	}
	return field + ": "
}
