// Package rapidtest sets the flags of pgregory.net/rapid for the property tests of a package, so that each run checks the
// same cases. The TestMain of a package with property tests calls Main.
package rapidtest

import (
	"flag"
	"os"
	"strings"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs the tests with settings in the form "name=value", where name is a flag without its prefix "rapid.". A flag on
// the command line overrides a setting, so that a longer run or another seed needs no change to the code. Failures are
// reported with their seed; rapid writes no fail files. Main does not return and panics if a setting is invalid.
func Main(m *testing.M, settings ...string) {
	flag.Parse()
	setOnCommandLine := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setOnCommandLine[f.Name] = true })
	for _, setting := range append(settings, "nofailfile=true") {
		name, value, _ := strings.Cut(setting, "=")
		if setOnCommandLine["rapid."+name] {
			continue
		}
		if err := flag.Set("rapid."+name, value); err != nil {
			panic("rapidtest: set flag rapid." + setting + ": " + err.Error())
		}
	}
	os.Exit(m.Run())
}
