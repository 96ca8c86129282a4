// Package rapidtest gives property tests settings of their own, so that each run has the same verdict. The TestMain of
// packages with property tests calls it.
package rapidtest

import (
	"flag"
	"os"
	"strings"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs the tests with settings in the form "name=value", without the prefix "rapid." of the flags. A flag on the
// command line goes before a setting, so that a longer run or another seed needs no change. Failures are reported with
// their seed and leave no files.
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
			panic("rapidtest: setting " + setting + ": " + err.Error())
		}
	}
	os.Exit(m.Run())
}
